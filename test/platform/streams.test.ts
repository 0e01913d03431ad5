/**
 * A forwarding node before model engines: prefill and hand-over, streams that break and go on, callers who
 * leave, and what cannot be served in time.
 */
import { expect } from 'chai';
import type Arrival from './standins/Arrival.js';
import ReplicaStandin from './standins/ReplicaStandin.js';
import SmallPlatform from './standins/SmallPlatform.js';
import sleep from '../support/sleep.js';

describe('a forwarding node before model engines', () => {
  const platform = new SmallPlatform();
  const { prefiller, decoders, replicas } = platform;
  const { countArrivals } = SmallPlatform;

  before(() => platform.start());
  beforeEach(() => platform.reset());
  after(() => platform.stop());

  it('prefills on one engine and continues on another, and passes the stream on', async () => {
    decoders.forEach((decoder) => Object.assign(decoder, { behaviour: ReplicaStandin.stream(5) }));
    const answer = await platform.generate('/audit/1', 9_000);
    const [handed] = [...decoders[0].arrivals, ...decoders[1].arrivals];
    expect(answer.body).toMatchSnapshot();
    expect(prefiller.arrivals.map(({ headers }) => headers['x-stage'])).to.deep.equal(['prefill']);
    expect(handed.headers['x-kv-source']).to.equal(`${prefiller.address}/kv-${handed.id}`);
  });

  it('goes on with a resumable stream after its last whole event, without a gap or a double', async () => {
    decoders[0].behaviour = ReplicaStandin.stream(8, 3);
    decoders[1].behaviour = ReplicaStandin.stream(8, 5);
    const broken = await platform.generate('/audit/1', 9_000);
    const ids = [...broken.body.matchAll(/id: (\d+)\ndata: token \1\n\n/g)].map(([, id]) =>
      Number(id),
    );
    const whole = Array.from({ length: ids.length }, (_unused, at) => at + 1);
    decoders[1].behaviour = ReplicaStandin.stream(8);
    await sleep(600);
    const resumed = await platform.generate('/audit/2', 9_000);
    expect(ids).to.deep.equal(whole);
    expect(broken.body).to.match(/cut/);
    expect(resumed.body).toMatchSnapshot();
  });

  it('cuts a stream that may not be resumed, so that it does not look complete', async () => {
    decoders.forEach((decoder) =>
      Object.assign(decoder, { behaviour: ReplicaStandin.stream(8, 3) }),
    );
    const answer = await platform.generate('/verdict/1', 9_000);
    expect([answer.status, answer.body, countArrivals(decoders)]).to.deep.equal([200, 'cut', 1]);
  });

  it('has the target prefill by itself when the prefill engine declines', async () => {
    prefiller.behaviour = ReplicaStandin.decline;
    decoders.forEach((decoder) => Object.assign(decoder, { behaviour: ReplicaStandin.stream(2) }));
    const answer = await platform.generate('/verdict/1', 9_000);
    const [arrival] = [...decoders[0].arrivals, ...decoders[1].arrivals];
    expect([answer.status, arrival.headers['x-kv-source']]).to.deep.equal([200, undefined]);
  });

  it('stops the work of a caller who leaves, and frees the prefill that nobody will use', async () => {
    let left = false;
    prefiller.behaviour = async (arrival, count) => {
      await sleep(200);
      ReplicaStandin.answer(arrival);
      expect(count).to.equal(1);
    };
    const beforeUse = new AbortController();
    const early = platform.generate('/audit/1', 9_000, beforeUse.signal).catch(() => undefined);
    await sleep(100);
    beforeUse.abort();
    await early;
    await sleep(300);
    const arrivedAfterLeave = countArrivals(decoders);
    decoders.forEach((decoder) =>
      Object.assign(decoder, {
        behaviour: async (arrival: Arrival) => {
          await arrival.left;
          left = true;
        },
      }),
    );
    prefiller.behaviour = ReplicaStandin.answer;
    const during = new AbortController();
    const late = platform.generate('/audit/2', 9_000, during.signal).catch(() => undefined);
    await sleep(200);
    during.abort();
    await late;
    await sleep(300);
    expect([arrivedAfterLeave, left]).to.deep.equal([0, true]);
  });

  it('refuses at arrival what cannot be served in time', async () => {
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
