/**
 * An attempt that ends because the caller disconnected or the deadline passed must not count as a failure of its
 * endpoint, which would be ejected although it works.
 */
import { expect } from 'chai';
import { err, ok } from 'true-myth/result';
import Attempt from 'rhubarbcroft/forwarding/Attempt';
import StreamRelay from 'rhubarbcroft/forwarding/StreamRelay';
import InstanceState from 'rhubarbcroft/instances/InstanceState';
import ManualClock from '../support/ManualClock.js';
import OPEN_GATE from '../support/OPEN_GATE.js';
import createForwardContext from '../support/createForwardContext.js';
import createForwardRequest from '../support/createForwardRequest.js';

function createTarget(): InstanceState {
  return new InstanceState(
    {
      id: 'i',
      service: 's',
      address: '127.0.0.1:1',
      domain: 'a',
      slots: 4,
      isLeaving: false,
      stage: undefined,
      coldRemainingMs: 0,
      startedAtMs: 1,
      sequence: 1,
    },
    { connectTimeoutMs: 100, kvCapacityTokens: 1 },
  );
}

describe('Attempt', () => {
  /** Runs two attempts whose dispatch fails, with or without the caller leaving, and reads the endpoint's health. */
  async function readHealthAfterFailures(
    kind: 'unsent' | 'broken',
    callerLeaves: boolean,
  ): Promise<unknown> {
    const clock = new ManualClock();
    const target = createTarget();
    const caller = new AbortController();
    const connection = {
      send: async () => {
        if (callerLeaves) {
          caller.abort();
        }
        return err({ kind, detail: 'ended' });
      },
      close: () => undefined,
    };
    Object.assign(target.pool, { acquire: () => connection });
    const { unreachableSignal: lost } = target;
    for (let count = 0; count < 2; count += 1) {
      await new Attempt(createForwardContext(clock), {
        request: createForwardRequest(),
        placement: { target, prefill: undefined, copyFrom: undefined, prefillMs: 0, expectedMs: 0 },
        relay: new StreamRelay({ headersSent: false } as never),
        lastEventId: undefined,
        answerTimeoutMs: 400,
        maxPauseMs: 400,
        gate: OPEN_GATE,
        handOver: async () => true,
      }).run(caller.signal);
    }
    return { rests: target.health.isAvoided(clock.nowMs()), lost: lost.aborted };
  }

  it('counts a failed attempt against its endpoint, but not one whose caller disconnected', async () => {
    expect({
      'no connection': await readHealthAfterFailures('unsent', false),
      'broken twice': await readHealthAfterFailures('broken', false),
      'left while connecting': await readHealthAfterFailures('unsent', true),
      'left while waiting': await readHealthAfterFailures('broken', true),
    }).toMatchSnapshot();
  });

  it('uses a new connection when a kept one closed before the request was sent', async () => {
    const clock = new ManualClock();
    const target = createTarget();
    const rawHeaders = ['x-request-id', 'r', 'x-response-seal', 's'];
    const kept = {
      wasClosedUnused: true,
      send: async () => err({ kind: 'unsent', detail: 'closed' }),
      close: () => undefined,
    };
    const fresh = {
      isOpen: false,
      send: async () => ok({ status: 200, rawHeaders, body: [Buffer.from('ok')], isFirst: true }),
      close: () => undefined,
    };
    Object.assign(target.pool, { acquire: (mayReuse: boolean) => (mayReuse ? kept : fresh) });
    const result = await new Attempt(createForwardContext(clock), {
      request: createForwardRequest(),
      placement: { target, prefill: undefined, copyFrom: undefined, prefillMs: 0, expectedMs: 0 },
      relay: new StreamRelay({ headersSent: false } as never),
      lastEventId: undefined,
      answerTimeoutMs: 400,
      maxPauseMs: 400,
      gate: OPEN_GATE,
      handOver: async () => true,
    }).run(new AbortController().signal);
    expect([result.type, target.health.isAvoided(clock.nowMs())]).to.deep.equal(['held', false]);
  });
});
