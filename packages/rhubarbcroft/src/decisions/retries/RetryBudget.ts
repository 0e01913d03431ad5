/**
 * Bounds retries to a fraction of recent first attempts, so that retries do not multiply the load when many
 * endpoints fail at once. A small reserve allows retries on a node with little traffic.
 */
import DecayingSum from '../DecayingSum.js';

const WINDOW_MS = 10_000;
const RETRY_FRACTION = 0.2;
const RESERVE = 10;

export default class RetryBudget {
  readonly #attempts = new DecayingSum(WINDOW_MS);

  readonly #retries = new DecayingSum(WINDOW_MS);

  /** Records the first attempt of a request. */
  recordFirstAttempt(nowMs: number): void {
    this.#attempts.add(1, nowMs);
  }

  /** Spends one retry; returns whether the budget allowed it. */
  spend(nowMs: number): boolean {
    const allowed = RESERVE + this.#attempts.read(nowMs) * RETRY_FRACTION;
    if (this.#retries.read(nowMs) + 1 > allowed) {
      return false;
    }
    this.#retries.add(1, nowMs);
    return true;
  }
}
