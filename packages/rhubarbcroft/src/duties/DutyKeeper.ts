/**
 * The task that acquires and renews the lease of the duties and, as the holder, fixes the counts of the usage windows.
 *
 * Other nodes learn from the holder's answers to their tallies that it renews the lease, and read the store only when it
 * may have expired or was released: the first candidate at once, the others each a little later. At the stop signal
 * the lease is released, while the tallies go on until the last request has ended.
 */
import type Logger from 'bunyan';
import type Clock from '../supervision/Clock.js';
import Task from '../supervision/Task.js';
import type Wakeup from '../supervision/Wakeup.js';
import type Metrics from '../telemetry/Metrics.js';
import type Candidates from './Candidates.js';
import type DutyLease from './DutyLease.js';
import type HolderView from './HolderView.js';
import type TallyBook from './TallyBook.js';
import type UsagePlanner from './UsagePlanner.js';

interface DutyKeeperOptions {
  readonly lease: DutyLease;
  readonly view: HolderView;
  readonly candidates: Candidates;
  readonly book: TallyBook;
  /** Undefined when usage is not reported. */
  readonly planner: UsagePlanner | undefined;
  /** Notified when there may be reports to send. */
  readonly fixed: Wakeup;
  readonly renewalMs: number;
  /** Aborts when the node starts to shut down. */
  readonly shutdown: AbortSignal;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** The nodes of a fleet that starts know each other after 3 s, so that few of them read the lease. */
const START_DELAY_MS = 3_500;
const HOLDER_PERIOD_MS = 100;
const CANDIDATE_PERIOD_MS = 250;
/** Delay between the candidates, each of which acts only if those before it did not. */
const RANK_DELAY_MS = 500;
const RETRY_MS = 1_000;

export default class DutyKeeper extends Task {
  override readonly name = 'duty-keeper';

  readonly #options: DutyKeeperOptions;

  #startedAtMs = 0;

  #heldSinceMs = 0;

  #triedAtMs = -Infinity;

  constructor(options: DutyKeeperOptions) {
    super();
    this.#options = options;
  }

  override async run(signal: AbortSignal): Promise<void> {
    const { lease, clock, shutdown, log } = this.#options;
    const stop = AbortSignal.any([signal, shutdown]);
    await clock.sleep(START_DELAY_MS, stop);
    this.#startedAtMs = clock.nowMs();
    while (!stop.aborted) {
      await this.runOnce();
      await clock.sleep(lease.held ? HOLDER_PERIOD_MS : CANDIDATE_PERIOD_MS, stop);
    }
    if (lease.held) {
      await lease.release();
      log.info({ epochs: lease.records.lease?.epochs }, 'lease of the duties released');
    }
  }

  /** Does what is due at this moment: a renewal, the fixing of windows, or an attempt to acquire the lease. */
  async runOnce(): Promise<void> {
    const { lease, planner, clock } = this.#options;
    const usage = lease.held
      ? planner?.plan(lease.records.usage, clock.nowMs() - this.#heldSinceMs)
      : undefined;
    const isRetry = clock.nowMs() - this.#triedAtMs < RETRY_MS;
    if (usage !== undefined && lease.authority !== undefined && !isRetry) {
      await this.#step(() => lease.fixUsage(usage));
    } else if (clock.nowMs() >= this.#findDueMs() && !isRetry) {
      await this.#step(() => lease.acquireOrRenew());
    }
  }

  override dumpState(): unknown {
    const { lease, view, candidates } = this.#options;
    const { epochs } = lease.authority ?? {};
    return { holder: view.holder ?? null, epochs: epochs ?? null, rank: candidates.rank };
  }

  async #step(write: () => Promise<void>): Promise<void> {
    const { lease, book, fixed, clock } = this.#options;
    const wasHeld = lease.held;
    const before = lease.records;
    const startedAtMs = clock.nowMs();
    await write();
    const { version, usage } = lease.records;
    // A write that took effect is followed by the next one when that is due; a failed one is repeated after a while.
    this.#triedAtMs = version === before.version ? startedAtMs : -Infinity;
    this.#recordHolding(wasHeld);
    if (lease.held && wasHeld) {
      this.#recordFixed(before.usage.nextWindow);
    }
    if (lease.held) {
      fixed.notify();
    }
    book.learnFixed((usage.nextWindow ?? 1) - 1);
  }

  #recordHolding(wasHeld: boolean): void {
    const { lease, clock, log, metrics } = this.#options;
    if (lease.held === wasHeld) {
      return;
    }
    const { address, epochs } = lease.records.lease ?? {};
    if (lease.held) {
      this.#heldSinceMs = clock.nowMs();
      log.info({ epochs }, 'lease of the duties acquired');
    } else {
      log.warn({ holder: address, epochs }, 'lease of the duties lost to another process');
    }
    metrics.increment('duty_lease', { event: lease.held ? 'acquired' : 'lost' });
  }

  /** Logs the windows that the last write fixed, and the nodes whose counts are missing in them. */
  #recordFixed(firstWindow: number | undefined): void {
    const { lease, book, log, metrics } = this.#options;
    const { pending, nextWindow = 0 } = lease.records.usage;
    const first = firstWindow ?? pending[0]?.window ?? nextWindow;
    const reports = new Map(pending.map((report) => [report.window, report.countsByAccount]));
    Array.from({ length: Math.max(0, nextWindow - first) }, (_unused, index) => first + index)
      .map((window) => ({ window, countsByAccount: reports.get(window) ?? {} }))
      .forEach(({ window, countsByAccount }) => {
        const missing = book.listMissing(window);
        const requests = Object.values(countsByAccount).reduce((sum, count) => sum + count, 0);
        const accounts = Object.keys(countsByAccount).length;
        book.recordFixed(window);
        metrics.increment('usage_windows_fixed');
        missing.forEach(() => metrics.increment('usage_lost', { cause: 'missing_node' }));
        const details = { window, requests, accounts, missing };
        if (requests === 0) {
          metrics.increment('usage_windows_empty');
          log.info(
            details,
            'usage window has no counts and no report; counts of nodes that ended are lost',
          );
        } else if (missing.length === 0) {
          log.info(details, 'usage window fixed');
        } else {
          log.warn(details, 'usage window fixed without the final counts of some nodes');
        }
      });
  }

  /** When the next renewal or attempt is due, on the monotonic clock. */
  #findDueMs(): number {
    const { lease, view, candidates, renewalMs } = this.#options;
    if (lease.held) {
      const isUrgent = lease.lacksSubjects || lease.authority === undefined;
      return isUrgent ? -Infinity : lease.grantedAtMs + renewalMs;
    }
    const rankDelayMs = candidates.rank * RANK_DELAY_MS;
    const releasedAtMs = lease.records.version < view.version ? view.releasedAtMs : undefined;
    return (releasedAtMs ?? lease.takeableAtMs ?? this.#startedAtMs) + rankDelayMs;
  }
}
