/**
 * A forwarding node in front of model engines: prefill and KV transfer, streams that break and are resumed, callers
 * that disconnect, and requests that cannot be served before their deadline.
 */
import { expect } from 'chai';
import type Arrival from './standins/Arrival.js';
import ReplicaStandin from './standins/ReplicaStandin.js';
import PlatformFixture from './standins/PlatformFixture.js';
import sleep from '../support/sleep.js';

describe('a forwarding node in front of model engines', () => {
  const platform = new PlatformFixture();
  const { prefiller, decoders, replicas } = platform;
  const { countArrivals } = PlatformFixture;

  before(() => platform.start());
  beforeEach(() => platform.reset());
  after(() => platform.stop());

  it('prefills on one engine and streams the answer from another', async () => {
    decoders.forEach((decoder) => Object.assign(decoder, { behaviour: ReplicaStandin.stream(5) }));
    const answer = await platform.generate('/audit/1', 9_000);
    const [transferred] = [...decoders[0].arrivals, ...decoders[1].arrivals];
    expect(answer.body).toMatchSnapshot();
    expect(prefiller.arrivals.map(({ headers }) => headers['x-stage'])).to.deep.equal(['prefill']);
    expect(transferred.headers['x-kv-source']).to.equal(
      `${prefiller.address}/kv-${transferred.id}`,
    );
  });

  it('resumes a broken stream after its last complete event, with no event missing or repeated', async () => {
    decoders[0].behaviour = ReplicaStandin.stream(8, 3);
    decoders[1].behaviour = ReplicaStandin.stream(8, 5);
    const broken = await platform.generate('/audit/1', 9_000);
    const ids = [...broken.body.matchAll(/id: (\d+)\ndata: token \1\n\n/g)].map(([, id]) =>
      Number(id),
    );
    const consecutive = Array.from({ length: ids.length }, (_unused, index) => index + 1);
    decoders[1].behaviour = ReplicaStandin.stream(8);
    await sleep(600);
    const resumed = await platform.generate('/audit/2', 9_000);
    expect(ids).to.deep.equal(consecutive);
    expect(broken.body).to.match(/cut/);
    expect(resumed.body).toMatchSnapshot();
  });

  it('aborts a broken stream that must not be resumed, so that it does not look complete', async () => {
    decoders.forEach((decoder) =>
      Object.assign(decoder, { behaviour: ReplicaStandin.stream(8, 3) }),
    );
    const answer = await platform.generate('/verdict/1', 9_000);
    expect([answer.status, answer.body, countArrivals(decoders)]).to.deep.equal([200, 'cut', 1]);
  });

  it('prefills on the decode engine when the prefill engine declines', async () => {
    prefiller.behaviour = ReplicaStandin.decline;
    decoders.forEach((decoder) => Object.assign(decoder, { behaviour: ReplicaStandin.stream(2) }));
    const answer = await platform.generate('/verdict/1', 9_000);
    const [arrival] = [...decoders[0].arrivals, ...decoders[1].arrivals];
    expect([answer.status, arrival.headers['x-kv-source']]).to.deep.equal([200, undefined]);
  });

  it('dispatches nothing to decode engines after a caller disconnects, and cancels an open stream', async () => {
    let cancelled = false;
    prefiller.behaviour = async (arrival, count) => {
      await sleep(200);
      ReplicaStandin.answer(arrival);
      expect(count).to.equal(1);
    };
    const duringPrefill = new AbortController();
    const first = platform.generate('/audit/1', 9_000, duringPrefill.signal).catch(() => undefined);
    await sleep(100);
    duringPrefill.abort();
    await first;
    await sleep(300);
    const dispatchedAfterDisconnect = countArrivals(decoders);
    decoders.forEach((decoder) =>
      Object.assign(decoder, {
        behaviour: async (arrival: Arrival) => {
          await arrival.left;
          cancelled = true;
        },
      }),
    );
    prefiller.behaviour = ReplicaStandin.answer;
    const duringStream = new AbortController();
    const second = platform.generate('/audit/2', 9_000, duringStream.signal).catch(() => undefined);
    await sleep(200);
    duringStream.abort();
    await second;
    await sleep(300);
    expect([dispatchedAfterDisconnect, cancelled]).to.deep.equal([0, true]);
  });

  it('rejects a request on arrival when it cannot be served before its deadline', async () => {
    const answer = await platform.call('/audit/1', {
      body: 'p',
      headers: {
        'x-token-count': '50000,40',
        'x-prefix-hash': 'huge:50000',
        'x-deadline-ms': '150',
      },
    });
    expect([answer.status, countArrivals(replicas)]).to.deep.equal([503, 0]);
    expect(Number(answer.retryAfter)).to.be.within(0.01, 0.05);
  });
});
