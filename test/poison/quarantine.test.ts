/**
 * Guards against requests with a poisonous prompt part that come through several nodes: each node would lose engines to
 * them before it knows, waiting requests would crash one more, and a node that starts later would begin anew.
 */
import { expect } from 'chai';
import { request as sendRequest } from 'undici';
import type Arrival from '../platform/standins/Arrival.js';
import ReplicaStandin from '../platform/standins/ReplicaStandin.js';
import StoreStandin from '../platform/standins/StoreStandin.js';
import createConfiguration from '../platform/standins/createConfiguration.js';
import startGateway from '../platform/standins/startGateway.js';
import sleep from '../support/sleep.js';

type Gateway = Awaited<ReturnType<typeof startGateway>>;

/** Nodes read the list of nodes 3 s after their start. */
const SETTLE_MS = 4_000;
/** Within this time a node that is in touch must know what the others know. */
const CONTACT_MS = 4_000;
const FIRST_EVENT_MS = 600;

describe('a prompt part that crashes engines', function suite() {
  this.timeout(60_000);
  const store = new StoreStandin();
  const engines = [1, 2, 3].map((at) => new ReplicaStandin(`engine-${at}`, 'model', 'decode'));
  let nodes: readonly Gateway[] = [];
  let crashes = 0;
  let calls = 0;

  /** Answers after a while, or crashes instead when the prompt has the poisonous part. */
  async function behave(engine: ReplicaStandin, arrival: Arrival): Promise<void> {
    await Promise.race([arrival.left, sleep(FIRST_EVENT_MS)]);
    if (arrival.socket.destroyed) {
      return;
    }
    if (String(arrival.headers['x-prefix-hash']).includes('poison')) {
      crashes += 1;
      await engine.stop();
    } else {
      await ReplicaStandin.stream(2)(arrival, 1);
    }
  }

  async function generate(node: number, ...shared: readonly string[]): Promise<string> {
    calls += 1;
    const parts = [...shared, `own-${calls}`].map((part) => `${part}:100`);
    const response = await sendRequest(`${nodes[node].url}/audit/1`, {
      method: 'POST',
      body: 'prompt',
      headers: {
        host: 'shop.example',
        'x-request-id': `request-${calls}`,
        'x-deadline-ms': '3000',
        'x-model': 'm',
        'x-token-count': `${parts.length * 100},40`,
        'x-prefix-hash': parts.join(','),
      },
    }).catch(() => undefined);
    const body = await response?.body.text().catch(() => undefined);
    const retryAfterS = Number(response?.headers['retry-after'] ?? 0);
    const hold =
      retryAfterS > 1 ? `, held for ${retryAfterS > 10 ? 'more' : 'less'} than 10 s` : '';
    return `${response?.statusCode}${hold}${body === undefined ? ', cut' : ''}`;
  }

  before(async () => {
    await Promise.all([store.start(), ...engines.map((engine) => engine.start())]);
    store.put('op', 'config', createConfiguration(3));
    engines.forEach((engine) => {
      Object.assign(engine, { behaviour: (arrival: Arrival) => behave(engine, arrival) });
      store.put('servers', engine.id, engine.createEntry());
    });
    nodes = [await startGateway({ storeUrl: store.url })];
    nodes = [...nodes, await startGateway({ storeUrl: store.url })];
    await sleep(SETTLE_MS);
  });

  after(async () => {
    await Promise.all(nodes.map((node) => node.stop()));
    await Promise.all(engines.map((engine) => engine.stop().catch(() => undefined)));
    await store.stop();
  });

  it('costs two engines, however many nodes its requests come through, and leaves its companions alone', async () => {
    const [first, waiting] = await Promise.all([
      generate(0, 'shared', 'poison'),
      sleep(1.5 * FIRST_EVENT_MS).then(() => generate(1, 'shared', 'poison')),
    ]);
    const arrivals = engines.map((engine) => engine.arrivals.length);
    nodes = [...nodes, await startGateway({ storeUrl: store.url })];
    await sleep(CONTACT_MS);
    const later = await Promise.all([0, 1, 2].map((node) => generate(node, 'shared', 'poison')));
    expect(engines.map((engine) => engine.arrivals.length)).to.deep.equal(arrivals);
    const companions = await Promise.all([0, 1, 2].map((node) => generate(node, 'shared')));
    expect(waiting).not.to.contain('200');
    expect({ crashes, first, later, companions }).toMatchSnapshot();
    expect(
      nodes.map(({ lines }) => lines.filter(({ code }) => code === 'PART_QUARANTINED').length > 0),
    ).to.deep.equal([true, true, true]);
  });
});
