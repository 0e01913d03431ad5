/** Determines which usage windows the holder of the duties fixes next, and with which counts. */
import isWindowDue from '../decisions/usage/isWindowDue.js';
import type TallyBook from './TallyBook.js';
import type TrueTime from './TrueTime.js';
import type UsageRecord from './UsageRecord.js';

interface UsagePlannerOptions {
  readonly book: TallyBook;
  readonly time: TrueTime;
  readonly windowMs: number;
  /** Time after the end of a window within which its report is due. */
  readonly lateMs: number;
  /** Lists the addresses for peers of the other nodes. */
  readonly listPeers: () => readonly string[];
  /** Whether the platform has accepted the report of a window. */
  readonly isAccepted: (window: number) => boolean;
}

/** Windows further back are not known any more, since the nodes keep no more of them. */
const MAX_WINDOWS = 24;

export default class UsagePlanner {
  readonly #options: UsagePlannerOptions;

  constructor(options: UsagePlannerOptions) {
    this.#options = options;
  }

  /** The record with the windows that are due now; undefined when none is. A window without requests has no report. */
  plan(record: UsageRecord, heldMs: number): UsageRecord | undefined {
    const { book, time, windowMs, isAccepted } = this.#options;
    const unixMs = time.unixMs();
    const current = Math.floor(unixMs / windowMs);
    const first = Math.max(
      record.nextWindow ?? book.firstWindow ?? Infinity,
      current - MAX_WINDOWS,
    );
    let nextWindow = first;
    while (nextWindow < current && this.#isDue(nextWindow, unixMs, heldMs)) {
      nextWindow += 1;
    }
    if (nextWindow === first || !Number.isFinite(first)) {
      return undefined;
    }
    const reports = Array.from({ length: nextWindow - first }, (_unused, index) =>
      book.sum(first + index),
    ).filter(({ countsByAccount }) => Object.keys(countsByAccount).length > 0);
    const pending = record.pending.filter(({ window }) => !isAccepted(window));
    return { nextWindow, pending: [...pending, ...reports] };
  }

  #isDue(window: number, unixMs: number, heldMs: number): boolean {
    const { book, windowMs, lateMs, listPeers } = this.#options;
    const endedMs = unixMs - (window + 1) * windowMs;
    const missing = book.listMissing(window).length;
    const unheard = book.countUnheard(listPeers());
    return isWindowDue({ endedMs, lateMs, missing, unheard, heldMs });
  }
}
