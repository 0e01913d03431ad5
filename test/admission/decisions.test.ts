/** Admission and limits at explicit times: floors, lateness, deadlines, account and concurrency limits, retries. */
import { expect } from 'chai';
import type Rank from '@rhubarbcroft/protocol/ranks/Rank';
import type Work from 'rhubarbcroft/decisions/Work';
import FairAdmission from 'rhubarbcroft/decisions/admission/FairAdmission';
import AccountLimits from 'rhubarbcroft/decisions/limits/AccountLimits';
import AdaptiveLimit from 'rhubarbcroft/decisions/limits/AdaptiveLimit';
import OutlierDetector from 'rhubarbcroft/decisions/limits/OutlierDetector';
import RetryBudget from 'rhubarbcroft/decisions/retries/RetryBudget';

const SHARES = new Map([
  ['audit', { weight: 1, floor: 0.3 }],
  ['plan', { weight: 3, floor: 0 }],
]);

function createWork(id: string, kind: string, rank: Rank, change: Partial<Work> = {}): Work {
  return {
    requestId: id,
    kind,
    rank,
    promptTokens: 300,
    outputTokens: 100,
    prefixKeys: [],
    arrivedAtMs: 0,
    deadlineAtMs: 60_000,
    ...change,
  };
}

function createAdmission(maxQueuedPerKind = 100): FairAdmission {
  return new FairAdmission({
    maxQueuedPerKind,
    findShare: (kind) => SHARES.get(kind) ?? { weight: 1, floor: 0 },
    estimateServiceMs: () => 1_000,
  });
}

/**
 * Queues five thousand urgent requests with a distant deadline at 100 s. `offer` returns whether one more is
 * admitted half a second later, with a deadline that many milliseconds after that.
 */
function createBacklog(): {
  readonly admission: FairAdmission;
  readonly offer: (deadlineMs: number) => boolean;
} {
  const admission = createAdmission(20_000);
  const distant = { deadlineAtMs: 300_000 };
  for (let index = 0; index < 5_000; index += 1) {
    admission.offer(createWork(`crowd-${index}`, 'lookup', 'urgent', distant), 100_000);
  }
  const offer = (deadlineMs: number): boolean =>
    admission.offer(
      createWork(`by-${deadlineMs}`, 'lookup', 'urgent', { deadlineAtMs: 100_500 + deadlineMs }),
      100_500,
    ).admitted;
  return { admission, offer };
}

describe('admission', () => {
  it('dispatches by rank, then by weighted fairness, and by floor after a wait', () => {
    const admission = createAdmission();
    for (let index = 0; index < 12; index += 1) {
      admission.offer(createWork(`lookup-${index}`, 'lookup', 'urgent'), 0);
      admission.offer(createWork(`plan-${index}`, 'plan', 'standard'), 0);
      admission.offer(createWork(`other-${index}`, 'other', 'standard'), 0);
      admission.offer(createWork(`audit-${index}`, 'audit', 'patient'), 0);
    }
    const early = Array.from({ length: 8 }, () => admission.take(10, () => true)?.requestId);
    const afterTheWait = Array.from({ length: 12 }, () => admission.take(4_000, () => true)).map(
      (work) => `${work?.requestId} as ${work?.rank}`,
    );
    expect({ early, afterTheWait }).toMatchSnapshot();
  });

  it('measures the service rate over the busy period, not over the idle time before a burst', () => {
    const { admission, offer } = createBacklog();
    // 100 requests are served in half a second, so the 5,000 ahead need 25 s.
    for (let atMs = 100_005; atMs <= 100_500; atMs += 5) {
      admission.take(atMs, () => true);
    }
    expect([offer(10_000), offer(40_000)]).to.deep.equal([false, true]);
  });

  it('does not refuse a request if the rate was observed too briefly to predict its deadline', () => {
    const { admission, offer } = createBacklog();
    // 5 requests are served in half a second while connections are still being set up: the 5,000 ahead would need 500 s.
    for (let atMs = 100_100; atMs <= 100_500; atMs += 100) {
      admission.take(atMs, () => true);
    }
    expect([offer(5_000), offer(170_000)]).to.deep.equal([false, true]);
  });

  it('blocks lower ranks while a request of a higher rank cannot run', () => {
    const admission = createAdmission();
    admission.offer(createWork('urgent', 'lookup', 'urgent'), 0);
    admission.offer(createWork('standard', 'plan', 'standard'), 0);
    expect(admission.take(1, (work) => work.rank !== 'urgent')).to.equal(undefined);
    expect(admission.take(1, () => true)?.requestId).to.equal('urgent');
  });

  it('serves late requests last and the newest on-time request first in an overload', () => {
    const admission = createAdmission();
    [0, 100, 200, 300].forEach((arrivedAtMs) =>
      admission.offer(
        createWork(`at-${arrivedAtMs}`, 'lookup', 'urgent', { arrivedAtMs }),
        arrivedAtMs,
      ),
    );
    const taken = Array.from({ length: 4 }, () => admission.take(330, () => true)?.requestId);
    expect(taken).to.deep.equal(['at-300', 'at-200', 'at-0', 'at-100']);
  });

  it('lets a kind at about its floor use its accumulated allowance, and limits a flood to the floor', () => {
    const countServed = (auditsPerRound: number): number => {
      const admission = createAdmission(10_000);
      let audits = 0;
      for (let round = 0; round < 200; round += 1) {
        const nowMs = round * 100;
        const offer = (kind: string, rank: Rank, index: number): void => {
          const id = `${kind}-${round}-${index}`;
          admission.offer(createWork(id, kind, rank, { arrivedAtMs: nowMs }), nowMs);
        };
        Array.from({ length: 10 }, (_unused, index) => offer('lookup', 'urgent', index));
        Array.from({ length: auditsPerRound }, (_unused, index) =>
          offer('audit', 'patient', index),
        );
        for (let slot = 0; slot < 10; slot += 1) {
          audits += admission.take(nowMs, () => true)?.kind === 'audit' ? 1 : 0;
        }
      }
      return audits;
    };
    expect({ aboutItsFloor: countServed(4), flood: countServed(20) }).toMatchSnapshot();
  });

  it('refuses requests that cannot meet their deadline or exceed the queue, and expires queued ones', () => {
    const admission = createAdmission(2);
    expect([
      admission.offer(createWork('hopeless', 'lookup', 'urgent', { deadlineAtMs: 900 }), 0),
      admission.offer(createWork('first', 'lookup', 'urgent', { deadlineAtMs: 2_000 }), 0),
      admission.offer(createWork('second', 'lookup', 'urgent'), 0),
      admission.offer(createWork('third', 'lookup', 'urgent'), 0),
      admission.expire(1_500).map((work) => work.requestId),
      admission.waiting,
    ]).toMatchSnapshot();
  });
});

describe('limits', () => {
  it('refills account buckets at their rate and keeps a bounded number of them', () => {
    const limits = new AccountLimits({ burstS: 2, maxAccounts: 3 });
    const waits = [150, 50, 10].map((tokens) => limits.spend('a', tokens, 100, 0));
    const later = limits.spend('a', 10, 100, 100);
    ['b', 'c', 'd', 'e'].forEach((account) => limits.spend(account, 1, 100, 0));
    expect({ waits, later, size: limits.size }).to.deep.equal({
      waits: [0, 0, 100],
      later: 0,
      size: 3,
    });
  });

  it('raises the concurrency limit with timely answers and lowers it with slow or failed ones', () => {
    const limit = new AdaptiveLimit(10, 20);
    for (let round = 0; round < 200; round += 1) {
      limit.recordAnswer(10, 10);
    }
    const grown = limit.limit;
    limit.recordAnswer(100, 10);
    limit.recordFailure();
    expect([grown > 10, limit.limit < grown]).to.deep.equal([true, true]);
  });

  it('ejects an endpoint after three consecutive failures and ramps it up again', () => {
    const detector = new OutlierDetector(0);
    const ejected = [1, 2, 3].map((atMs) => detector.recordFailure(atMs, true));
    expect({
      ejected,
      during: detector.isEjected(1_000),
      after: detector.isEjected(6_000),
      ramp: [6_000, 10_000, 20_000].map((atMs) => detector.readRampFraction(atMs).toFixed(2)),
    }).toMatchSnapshot();
  });

  it('allows retries for a fraction of the first attempts and a small reserve', () => {
    const budget = new RetryBudget();
    for (let attempt = 0; attempt < 100; attempt += 1) {
      budget.recordFirstAttempt(0);
    }
    const allowed = Array.from({ length: 100 }, () => budget.spend(0)).filter(
      (spent) => spent,
    ).length;
    expect(allowed).to.equal(30);
  });
});
