/**
 * Guards against giving up a silent attempt for one that cannot follow, and against following attempts that the retry
 * budget does not allow.
 */
import { expect } from 'chai';
import FleetRetryBudget from 'rhubarbcroft/decisions/retries/FleetRetryBudget';
import NextAttempt from 'rhubarbcroft/forwarding/NextAttempt';
import InstanceState from 'rhubarbcroft/instances/InstanceState';
import ManualClock from '../support/ManualClock.js';
import createForwardContext from '../support/createForwardContext.js';
import createForwardRequest from '../support/createForwardRequest.js';

const INSTANCE = {
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
};

interface Case {
  readonly isAvoided?: boolean;
  readonly expectedMs?: number;
  readonly reserve?: number;
}

/** Secures an attempt several times; returns how often that succeeded. */
function countSecured({ isAvoided = false, expectedMs = 0, reserve = 10 }: Case): number {
  const clock = new ManualClock();
  const target = new InstanceState(INSTANCE, { connectTimeoutMs: 100, kvCapacityTokens: 1 });
  if (isAvoided) {
    target.health.recordRejection(clock.nowMs());
  }
  const placement = { target, prefill: undefined, copyFrom: undefined, prefillMs: 0, expectedMs };
  const context = {
    ...createForwardContext(clock),
    retryBudget: new FleetRetryBudget({ ratio: 0, windowMs: 1_000, reserve, countNodes: () => 1 }),
  };
  const request = createForwardRequest({ expiresAtMs: clock.nowMs() + 1_000 });
  const history = { triedIds: new Set<string>(), sends: 1 };
  return Array.from({ length: 5 }, () =>
    new NextAttempt(context, { choose: () => placement }, request).secure(history),
  ).filter((secured) => secured !== undefined).length;
}

describe('the attempt that may follow a silent one', () => {
  it('is secured only at an available endpoint, before the deadline and within the budget', () => {
    expect({
      available: countSecured({}),
      'rejected a request just now': countSecured({ isAvoided: true }),
      'expected after the deadline': countSecured({ expectedMs: 1_001 }),
      'a budget of three': countSecured({ reserve: 4 }),
    }).to.deep.equal({
      available: 5,
      'rejected a request just now': 0,
      'expected after the deadline': 0,
      'a budget of three': 3,
    });
  });
});
