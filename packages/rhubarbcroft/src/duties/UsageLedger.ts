/** The requests that began to run at this node, by window of true time and by account. */
import RunRecorder from './RunRecorder.js';
import type TrueTime from './TrueTime.js';
import type UsageReport from './UsageReport.js';

/** Longer than any outage of the store after which the counts of its time are still of use. */
const MAX_WINDOWS = 24;

export default class UsageLedger extends RunRecorder {
  readonly #time: TrueTime;

  readonly #windowMs: number;

  #windows: ReadonlyMap<number, ReadonlyMap<string, number>> = new Map();

  #closedWindow = 0;

  constructor(time: TrueTime, windowMs: number) {
    super();
    this.#time = time;
    this.#windowMs = windowMs;
  }

  override recordRun(account: string): void {
    // The estimate of the true time may go back; what was declared final stays so.
    const window = Math.max(this.#findCurrent(), this.#closedWindow + 1);
    const counts = new Map(this.#windows.get(window));
    counts.set(account, (counts.get(account) ?? 0) + 1);
    this.#windows = new Map([...this.#windows, [window, counts] as const].slice(-MAX_WINDOWS));
  }

  /** Declares the windows that have ended final, and returns the last of them. */
  close(): number {
    this.#closedWindow = Math.max(this.#closedWindow, this.#findCurrent() - 1);
    return this.#closedWindow;
  }

  /** Declares the current window final too: this node runs no more requests. */
  closeForGood(): number {
    this.#closedWindow = Math.max(this.#closedWindow, this.#findCurrent());
    return this.#closedWindow;
  }

  list(): readonly UsageReport[] {
    return [...this.#windows].map(([window, counts]) => ({
      window,
      countsByAccount: Object.fromEntries(counts),
    }));
  }

  /** Forgets the windows whose counts are fixed. */
  dropThrough(window: number): void {
    this.#windows = new Map([...this.#windows].filter(([key]) => key > window));
  }

  #findCurrent(): number {
    return Math.floor(this.#time.unixMs() / this.#windowMs);
  }
}
