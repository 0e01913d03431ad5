/** Nodes of a large failure domain that follow the store through one of them, the leader. */
import { expect } from 'chai';
import { request as sendRequest } from 'undici';
import ReplicaStandin from './standins/ReplicaStandin.js';
import StoreStandin from './standins/StoreStandin.js';
import createConfiguration from './standins/createConfiguration.js';
import createRoute from './standins/createRoute.js';
import startGateway from './standins/startGateway.js';
import sleep from '../support/sleep.js';

type Gateway = Awaited<ReturnType<typeof startGateway>>;

const NODES = 6;
/** Time within which the platform requires a change to be in force on every node. */
const APPLY_LIMIT_MS = 3_000;
/** Time from the start until the nodes have read the node list and follow the store through the leader. */
const LEADER_SETTLE_MS = 10_000;

describe('nodes that follow the store through a leader', function suite() {
  this.timeout(60_000);
  const store = new StoreStandin();
  const ledgers = [1, 2].map((at) => new ReplicaStandin(`ledger-${at}`, 'ledger'));
  let nodes: readonly Gateway[] = [];

  before(async () => {
    await store.start();
    await Promise.all(ledgers.map((ledger) => ledger.start()));
    store.put('op', 'config', createConfiguration(3));
    ledgers.forEach((ledger) => store.put('servers', ledger.id, ledger.createEntry()));
    while (nodes.length < NODES) {
      nodes = [...nodes, await startGateway({ storeUrl: store.url })];
    }
    await sleep(LEADER_SETTLE_MS);
  });

  after(async () => {
    await Promise.all(nodes.map((node) => node.stop()));
    await Promise.all(ledgers.map((ledger) => ledger.stop()));
    await store.stop();
  });

  function findNodesThatLogged(message: string): readonly Gateway[] {
    return nodes.filter(({ lines }) => lines.some(({ msg }) => msg === message));
  }

  async function callAll(path: string, targets = nodes): Promise<readonly number[]> {
    return Promise.all(
      targets.map(async ({ url }, index) => {
        const { statusCode, body } = await sendRequest(`${url}${path}`, {
          headers: { host: 'shop.example', 'x-request-id': `${path} ${index}`.replace(' ', '-') },
        });
        await body.dump();
        return statusCode;
      }),
    );
  }

  it('sends no requests from followers to the store while nothing changes', async () => {
    expect(findNodesThatLogged('following the store through a neighbour').length).to.equal(
      NODES - 1,
    );
    store.calls.splice(0);
    await sleep(4_000);
    // Only the leader polls: two tables for 4 s with a request a second each, and one more of each for the edges of the span.
    expect(store.calls.length).to.be.at.most(10);
  });

  it('applies a new configuration and a draining endpoint on every node within the time limit', async () => {
    store.put('op', 'config', createConfiguration(5, [createRoute('/new/', 'ledger')]));
    store.put('servers', 'ledger-1', ledgers[0].createEntry({ state: 'draining', sequence: 2 }));
    await sleep(APPLY_LIMIT_MS);
    ledgers.forEach(({ arrivals }) => arrivals.splice(0));
    expect(await callAll('/new/x')).to.deep.equal(nodes.map(() => 200));
    expect(ledgers.map(({ arrivals }) => arrivals.length)).to.deep.equal([0, NODES]);
  });

  it('follows the store directly when the leader stops', async () => {
    const followers = findNodesThatLogged('following the store through a neighbour');
    const leader = nodes.find((node) => !followers.includes(node));
    await leader?.stop();
    nodes = followers;
    store.put('op', 'config', createConfiguration(9, [createRoute('/later/', 'ledger')]));
    await sleep(APPLY_LIMIT_MS);
    expect(await callAll('/later/x')).to.deep.equal(nodes.map(() => 200));
  });

  it('follows the store directly when the leader loses contact with the store', async () => {
    store.setFaultMode('silent');
    await sleep(2_500);
    expect(
      findNodesThatLogged('leader lost; following the store directly').length,
    ).to.be.greaterThan(0);
    store.setFaultMode('none');
    store.put('op', 'config', createConfiguration(12, [createRoute('/last/', 'ledger')]));
    await sleep(APPLY_LIMIT_MS);
    expect(await callAll('/last/x')).to.deep.equal(nodes.map(() => 200));
  });
});
