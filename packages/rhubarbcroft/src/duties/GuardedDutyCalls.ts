/**
 * Sends the calls of the duties at the platform's rate, and only while this node still has the right at the moment of
 * the send. Since only the holder sends, its rate is that of the fleet.
 */
import type Clock from '../supervision/Clock.js';
import type DutyActs from './DutyActs.js';
import DutyCalls from './DutyCalls.js';
import type DutyOutcome from './DutyOutcome.js';
import type DutyRight from './DutyRight.js';
import type DutyRights from './DutyRights.js';
import type ReplicaOrder from './ReplicaOrder.js';
import type UsageReport from './UsageReport.js';
import USAGE_SUBJECT from './USAGE_SUBJECT.js';
import createScalingSubject from './createScalingSubject.js';

interface GuardedDutyCallsOptions {
  readonly calls: DutyCalls;
  readonly rights: DutyRights;
  readonly acts: DutyActs;
  readonly clock: Clock;
  readonly callsPerS: number;
}

const MS_PER_S = 1_000;
/** Share of the platform's rate that is used; calls arrive less evenly than they are sent. */
const RATE_SHARE = 0.8;

export default class GuardedDutyCalls extends DutyCalls {
  readonly #options: GuardedDutyCallsOptions;

  #nextSendMs = -Infinity;

  constructor(options: GuardedDutyCallsOptions) {
    super();
    this.#options = options;
  }

  override reportUsage(report: UsageReport, right: DutyRight): Promise<DutyOutcome> {
    return this.#send(USAGE_SUBJECT, right, (calls) => calls.reportUsage(report, right));
  }

  override orderReplicas(order: ReplicaOrder, right: DutyRight): Promise<DutyOutcome> {
    const subject = createScalingSubject(order);
    return this.#send(subject, right, (calls) => calls.orderReplicas(order, right));
  }

  /** Returns `throttled` without a call when the right has ended. */
  async #send(
    subject: string,
    right: DutyRight,
    call: (calls: DutyCalls) => Promise<DutyOutcome>,
  ): Promise<DutyOutcome> {
    const { calls, rights, acts, clock, callsPerS } = this.#options;
    const nowMs = clock.nowMs();
    const sendAtMs = Math.max(nowMs, this.#nextSendMs);
    this.#nextSendMs = sendAtMs + MS_PER_S / (callsPerS * RATE_SHARE);
    if (sendAtMs > nowMs) {
      await clock.sleep(sendAtMs - nowMs);
    }
    if (rights.findRight(subject)?.fence !== right.fence) {
      return 'throttled';
    }
    return acts.run(() => call(calls));
  }
}
