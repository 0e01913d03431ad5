/**
 * The task that reports the fixed usage windows to the platform while this node holds the duties, one after the other,
 * each until it is accepted. A report is repeated exactly, also by a successor, since its counts are in the store.
 */
import type Logger from 'bunyan';
import type Clock from '../supervision/Clock.js';
import Task from '../supervision/Task.js';
import type Wakeup from '../supervision/Wakeup.js';
import type Metrics from '../telemetry/Metrics.js';
import type DutyCalls from './DutyCalls.js';
import type DutyLease from './DutyLease.js';
import type DutyRights from './DutyRights.js';
import type UsageReport from './UsageReport.js';
import USAGE_SUBJECT from './USAGE_SUBJECT.js';

interface UsageReporterOptions {
  readonly lease: DutyLease;
  readonly rights: DutyRights;
  readonly calls: DutyCalls;
  readonly accepted: Set<number>;
  /** Notified when there may be reports to send. */
  readonly fixed: Wakeup;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
}

const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 2_000;

export default class UsageReporter extends Task {
  override readonly name = 'usage-reporter';

  readonly #options: UsageReporterOptions;

  #retryMs = MIN_RETRY_MS;

  constructor(options: UsageReporterOptions) {
    super();
    this.#options = options;
  }

  override async run(signal: AbortSignal): Promise<void> {
    const { fixed, clock } = this.#options;
    while (!signal.aborted) {
      const report = this.#findReport();
      if (report === undefined) {
        await fixed.wait(signal);
      } else if (await this.#send(report)) {
        this.#retryMs = MIN_RETRY_MS;
      } else {
        await clock.sleep(this.#retryMs, signal);
        this.#retryMs = Math.min(this.#retryMs * 2, MAX_RETRY_MS);
      }
    }
  }

  /** The oldest report that is due; undefined when there is none or this node is not the holder. */
  #findReport(): UsageReport | undefined {
    const { lease, accepted } = this.#options;
    return lease.held
      ? lease.records.usage.pending.find(({ window }) => !accepted.has(window))
      : undefined;
  }

  /** Sends a report once; returns whether it is settled. */
  async #send(report: UsageReport): Promise<boolean> {
    const { rights, calls, accepted, log, metrics } = this.#options;
    const right = rights.findRight(USAGE_SUBJECT);
    if (right === undefined) {
      return false;
    }
    const { window } = report;
    const outcome = await calls.reportUsage(report, right);
    metrics.increment('usage_reports', { outcome });
    if (outcome === 'accepted') {
      log.info({ window, fence: right.fence }, 'usage reported');
    } else if (outcome === 'rejected') {
      metrics.increment('usage_lost', { cause: 'rejected' });
      log.error({ window, fence: right.fence }, 'usage lost: the platform rejected the report');
    } else {
      log.info({ window, fence: right.fence, outcome }, 'usage report not accepted; repeating it');
      return false;
    }
    accepted.add(window);
    return true;
  }
}
