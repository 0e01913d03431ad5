/**
 * Guards against a stream that is lost or mixed while it is handed over: the endpoint that is to follow may decline it,
 * close the connection or answer nothing, and the silent one may go on meanwhile.
 */
import { expect } from 'chai';
import type Arrival from '../platform/standins/Arrival.js';
import AttemptRun from 'rhubarbcroft/forwarding/AttemptRun';
import HandOver from 'rhubarbcroft/forwarding/HandOver';
import PlatformFixture from '../platform/standins/PlatformFixture.js';
import ReplicaStandin from '../platform/standins/ReplicaStandin.js';
import createConfiguration from '../platform/standins/createConfiguration.js';
import createRoute from '../platform/standins/createRoute.js';
import sleep from '../support/sleep.js';

type Behaviour = (arrival: Arrival) => Promise<void> | void;

const PLAN_ROUTE = createRoute('/plan/', 'model', {
  kind: 'streaming',
  sticky: true,
  resumable: true,
  timeoutMs: 8_000,
  targetLatencyMs: 800,
  gapAimMs: 300,
});
/** The node hands a stream over after 1.5 s of silence. */
const GOES_ON_AFTER_MS = 1_700;

const FOLLOWERS: Readonly<Record<string, Behaviour>> = {
  'declines with 503': ReplicaStandin.decline,
  'declines with 421': ({ id, response }) => {
    response.writeHead(421, { 'x-request-id': id });
    response.end();
  },
  'closes the connection': ReplicaStandin.resetConnection,
  'answers nothing until the silent one goes on': () => undefined,
  'takes over': async ({ id, response, headers }) => {
    response.writeHead(200, { 'x-request-id': id, 'x-response-seal': `seal-${id}` });
    response.end(`id: 2\ndata: follows ${String(headers['last-event-id'])}\n\n`);
  },
};

describe('the hand-over of a silent stream', () => {
  const platform = new PlatformFixture();
  const { store, decoders, prefiller } = platform;

  before(() => platform.start());
  beforeEach(() => platform.reset());
  after(() => platform.stop());

  async function play(follow: Behaviour): Promise<unknown> {
    await platform.reset();
    let isFirst = true;
    const behaviour = async (arrival: Arrival): Promise<void> => {
      const { id, response, headers } = arrival;
      if (headers['x-stage'] === 'prefill') {
        ReplicaStandin.answer(arrival);
        return;
      }
      if (!isFirst) {
        await follow(arrival);
        return;
      }
      isFirst = false;
      response.writeHead(200, { 'x-request-id': id, 'x-response-seal': `seal-${id}` });
      response.write('id: 1\ndata: first\n\n');
      await sleep(GOES_ON_AFTER_MS);
      response.end('id: 2\ndata: went on\n\n');
    };
    [...decoders, prefiller].forEach((replica) => Object.assign(replica, { behaviour }));
    const { status, body } = await platform.call('/plan/1', {
      body: 'prompt',
      headers: {
        'x-deadline-ms': '8000',
        'x-token-count': '9,40',
        'x-prefix-hash': `a:5,own-${Math.random()}:4`,
      },
    });
    const [first, second] = decoders.toSorted((a, b) => a.arrivals.length - b.arrivals.length);
    const reached = [first, second].flatMap(({ arrivals }) =>
      arrivals.filter(({ headers }) => headers['x-stage'] === undefined),
    );
    return { status, body, reached: reached.length };
  }

  it('gives the caller one whole stream, whatever the endpoint that is to follow does', async () => {
    store.put('op', 'config', createConfiguration(20, [PLAN_ROUTE]));
    await sleep(1_500);
    const outcomes: [string, unknown][] = [];
    for (const [name, follow] of Object.entries(FOLLOWERS)) {
      outcomes.push([name, await play(follow)]);
    }
    expect(Object.fromEntries(outcomes)).toMatchSnapshot();
  }).timeout(60_000);

  it('leaves the silent attempt alone when the one that is to follow fails internally', async () => {
    const idle = new HandOver({ secure: () => undefined, begin: () => expect.fail('not begun') });
    const handOver = new HandOver({
      secure: () => ({}) as never,
      begin: (placement) =>
        new AttemptRun({
          placement,
          handOver: idle,
          run: () => Promise.reject(new Error('a fault of the program')),
        }),
    });
    const isHandedOver = await handOver.start(new AbortController().signal);
    await sleep(10);
    expect([isHandedOver, handOver.take(), handOver.ended.length]).to.deep.equal([
      false,
      undefined,
      0,
    ]);
  });
});
