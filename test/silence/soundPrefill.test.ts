/**
 * Guards against giving up a sound prefill, because another connection to its engine failed, when the retry budget does
 * not allow the target to be used without it: the request would be refused although its prefill goes on.
 */
import { expect } from 'chai';
import { ok } from 'true-myth/result';
import Attempt from 'rhubarbcroft/forwarding/Attempt';
import StreamRelay from 'rhubarbcroft/forwarding/StreamRelay';
import InstanceState from 'rhubarbcroft/instances/InstanceState';
import FleetRetryBudget from 'rhubarbcroft/decisions/retries/FleetRetryBudget';
import SystemClock from 'rhubarbcroft/supervision/SystemClock';
import OPEN_GATE from '../support/OPEN_GATE.js';
import createForwardContext from '../support/createForwardContext.js';
import createForwardRequest from '../support/createForwardRequest.js';
import sleep from '../support/sleep.js';

const INSTANCE = {
  id: 'i',
  service: 's',
  address: '127.0.0.1:1',
  domain: 'a',
  slots: 4,
  isLeaving: false,
  stage: 'prefill',
  coldRemainingMs: 0,
  startedAtMs: 1,
  sequence: 1,
} as const;

describe('a sound prefill', () => {
  it('goes on when another connection to its engine failed and the retry budget is exhausted', async () => {
    const limits = { connectTimeoutMs: 100, kvCapacityTokens: 100 };
    const prefill = new InstanceState(INSTANCE, limits);
    const clock = new SystemClock();
    const context = {
      ...createForwardContext(clock),
      retryBudget: new FleetRetryBudget({
        ratio: 0,
        windowMs: 1_000,
        reserve: 0,
        countNodes: () => 1,
      }),
    };
    context.registry.applyChanges({
      version: 1,
      rows: [{ key: 'd', version: 1, value: { ...INSTANCE, id: 'd', stage: 'decode' } }],
    });
    const target = context.registry.find('d') as InstanceState;
    async function* read(text: string): AsyncGenerator<Buffer> {
      yield Buffer.from(text);
    }
    const connect = (delayMs: number, text: string): unknown => ({
      isOpen: false,
      close: () => undefined,
      send: async (_call: unknown, signal: AbortSignal) => {
        await Promise.race([
          sleep(delayMs),
          new Promise((resolve) => {
            signal.addEventListener('abort', resolve);
          }),
        ]);
        const rawHeaders = ['x-request-id', 'r', 'x-response-seal', 's'];
        return signal.aborted
          ? { isErr: true, isOk: false, error: { kind: 'broken', detail: 'aborted' } }
          : ok({ status: 200, rawHeaders, body: read(text), isFirst: true });
      },
    });
    Object.assign(prefill.pool, { acquire: () => connect(600, '{"kvHandle":"h"}') });
    Object.assign(target.pool, { acquire: () => connect(0, 'whole') });
    setTimeout(() => prefill.markUnreachable(clock.nowMs()), 50);
    const prompt = {
      parts: [{ id: 'a', tokens: 5 }],
      promptTokens: 5,
      outputTokens: 4,
      bodyBytes: 0,
    };
    const result = await new Attempt(context, {
      request: createForwardRequest({
        prompt: prompt as never,
        expiresAtMs: clock.nowMs() + 8_000,
      }),
      placement: { target, prefill, copyFrom: undefined, prefillMs: 500, expectedMs: 600 },
      relay: new StreamRelay({ headersSent: false } as never),
      lastEventId: undefined,
      answerTimeoutMs: 1_000,
      maxPauseMs: 1_000,
      gate: OPEN_GATE,
      handOver: async () => true,
    }).run(new AbortController().signal);
    expect(result.type === 'failed' ? result.failure : result.type).to.equal('held');
  });
});
