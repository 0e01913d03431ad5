/**
 * Guards against requests that are ended although their endpoint is sound: one that falls silent for a second or so
 * and then goes on. An attempt may be given up for its silence only if another one can follow.
 */
import { expect } from 'chai';
import type Arrival from '../platform/standins/Arrival.js';
import PlatformFixture from '../platform/standins/PlatformFixture.js';
import ReplicaStandin from '../platform/standins/ReplicaStandin.js';
import createConfiguration from '../platform/standins/createConfiguration.js';
import createRoute from '../platform/standins/createRoute.js';
import sleep from '../support/sleep.js';

/** Beyond the time limits of an attempt, within the deadline of the request. */
const SILENCE_MS = { answer: 1_400, stream: 2_200 };
const SHORT_SILENCE_MS = 1_200;
const PLAN_ROUTE = createRoute('/plan/', 'model', {
  kind: 'streaming',
  sticky: true,
  resumable: true,
  timeoutMs: 8_000,
  targetLatencyMs: 800,
  gapAimMs: 300,
});

/** Answers completely, with a silence before a buffered answer or after the second event of a stream. */
async function pauseOnce(arrival: Arrival): Promise<void> {
  const { id, path, response, headers } = arrival;
  if (path.startsWith('/read/') || headers['x-stage'] === 'prefill') {
    await sleep(path.startsWith('/read/') ? SILENCE_MS.answer : 0);
    ReplicaStandin.answer(arrival);
    return;
  }
  response.writeHead(200, { 'x-request-id': id, 'x-response-seal': `seal-${id}` });
  const events = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n'];
  const rest = events.slice(Number(headers['last-event-id'] ?? 0));
  response.write(rest.slice(0, -1).join('') || ':\n\n');
  await sleep(path.startsWith('/plan/short') ? SHORT_SILENCE_MS : SILENCE_MS.stream);
  response.end(rest.at(-1));
}

describe('a sound endpoint that falls silent', () => {
  const platform = new PlatformFixture();
  const { store, ledgers, decoders } = platform;
  let version = 10;

  before(() => platform.start());
  beforeEach(() => platform.reset());
  after(() => platform.stop());

  /** Calls endpoints that pause beside a change of the configuration, one or two of each service. */
  async function callDuringSilence(
    path: string,
    count: number,
    hasOther: boolean,
  ): Promise<readonly unknown[]> {
    const state = hasOther ? 'ready' : 'draining';
    version += 2;
    store.put('servers', 'ledger-2', ledgers[1].createEntry({ state, sequence: version }));
    store.put('servers', 'decode-2', decoders[1].createEntry({ state, sequence: version }));
    store.put('op', 'config', createConfiguration(version, [PLAN_ROUTE]));
    await sleep(2_300);
    [ledgers, decoders].flat().forEach((replica) => {
      Object.assign(replica, { behaviour: pauseOnce });
    });
    const calls = Array.from({ length: count }, () =>
      platform.call(path, {
        ...(path.startsWith('/plan/') ? { body: 'prompt' } : {}),
        headers: { 'x-deadline-ms': '8000', 'x-token-count': '9,40', 'x-prefix-hash': 'a:5,b:4' },
      }),
    );
    await sleep(100);
    const routes = [PLAN_ROUTE, createRoute('/new/', 'ledger')];
    store.put('op', 'config', createConfiguration(version + 1, routes));
    return (await Promise.all(calls)).map(({ status, body }) => [
      status,
      body.replace(/r-\d+/, 'r').replaceAll(/:\n\n/g, ''),
    ]);
  }

  it('finishes a stream across a pause when no other endpoint can continue it', async () => {
    expect(await callDuringSilence('/plan/1', 1, false)).toMatchSnapshot();
  });

  it('finishes all streams when more pause than the retry budget allows to move', async () => {
    const answers = await callDuringSilence('/plan/2', 30, true);
    expect([...new Set(answers.map((answer) => JSON.stringify(answer)))]).toMatchSnapshot();
  });

  it('does not move a stream that pauses for a second to another endpoint', async () => {
    const [answer] = await callDuringSilence('/plan/short', 1, true);
    expect([answer, PlatformFixture.countArrivals(decoders)]).toMatchSnapshot();
  });

  it('returns a late buffered answer when no other endpoint can give it', async () => {
    expect(await callDuringSilence('/read/1', 1, false)).toMatchSnapshot();
  });
});
