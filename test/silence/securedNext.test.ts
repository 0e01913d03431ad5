/**
 * Guards against giving up a sound attempt for one that its endpoint then declines: the caller would get neither, although
 * the first endpoint goes on after a pause.
 */
import { expect } from 'chai';
import type Arrival from '../platform/standins/Arrival.js';
import PlatformFixture from '../platform/standins/PlatformFixture.js';
import ReplicaStandin from '../platform/standins/ReplicaStandin.js';
import createConfiguration from '../platform/standins/createConfiguration.js';
import createRoute from '../platform/standins/createRoute.js';
import sleep from '../support/sleep.js';

const PLAN_ROUTE = createRoute('/plan/', 'model', {
  kind: 'streaming',
  sticky: true,
  resumable: true,
  timeoutMs: 8_000,
  targetLatencyMs: 800,
  gapAimMs: 300,
});

describe('a secured attempt that its endpoint declines', () => {
  const platform = new PlatformFixture();
  const { store, ledgers, decoders } = platform;

  before(() => platform.start());
  beforeEach(() => platform.reset());
  after(() => platform.stop());

  it('does not cost the caller the answer of the endpoint that was silent', async () => {
    store.put('op', 'config', createConfiguration(20, [PLAN_ROUTE]));
    await sleep(1_500);
    let isFirst = true;
    const behaviour = async (arrival: Arrival): Promise<void> => {
      const { id, path, response, headers } = arrival;
      if (headers['x-stage'] === 'prefill') {
        ReplicaStandin.answer(arrival);
        return;
      }
      if (!isFirst) {
        ReplicaStandin.decline(arrival);
        return;
      }
      isFirst = false;
      if (path.startsWith('/read/')) {
        await sleep(1_400);
        ReplicaStandin.answer(arrival);
        return;
      }
      response.writeHead(200, { 'x-request-id': id, 'x-response-seal': `seal-${id}` });
      response.write('id: 1\ndata: a\n\n');
      await sleep(2_200);
      response.end('id: 2\ndata: b\n\n');
    };
    [ledgers, decoders].flat().forEach((replica) => Object.assign(replica, { behaviour }));
    const headers = {
      'x-deadline-ms': '8000',
      'x-token-count': '9,40',
      'x-prefix-hash': 'a:5,b:4',
    };
    const outcomes: unknown[] = [];
    for (const path of ['/read/1', '/plan/1']) {
      isFirst = true;
      const { status, body } = await platform.call(path, {
        ...(path.startsWith('/plan/') ? { body: 'prompt' } : {}),
        headers,
      });
      outcomes.push([path, status, body.replace(/r-\d+/, 'r')]);
    }
    expect(outcomes).to.deep.equal([
      ['/read/1', 200, 'answer to r '],
      ['/plan/1', 200, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'],
    ]);
  });
});
