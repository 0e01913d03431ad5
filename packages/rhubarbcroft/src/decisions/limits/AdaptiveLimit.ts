/**
 * An adaptive limit on concurrent calls to one endpoint: it grows by one for every `limit` answers in time and
 * shrinks by a factor when a call fails or its latency is far above the moving average.
 */
const MIN_LIMIT = 2;
const SHRINK_FACTOR = 0.8;
const SLOW_FACTOR = 3;
const BASELINE_SMOOTHING = 0.05;

export default class AdaptiveLimit {
  readonly #maxLimit: number;

  #limit: number;

  #baselineMs = 0;

  constructor(initialLimit: number, maxLimit: number) {
    this.#limit = initialLimit;
    this.#maxLimit = maxLimit;
  }

  get limit(): number {
    return Math.floor(this.#limit);
  }

  /** Records an answer; the limit only grows while at least half of it is in use. */
  recordAnswer(latencyMs: number, concurrent: number): void {
    const slow = this.#baselineMs > 0 && latencyMs > this.#baselineMs * SLOW_FACTOR;
    this.#baselineMs +=
      (latencyMs - this.#baselineMs) * (this.#baselineMs === 0 ? 1 : BASELINE_SMOOTHING);
    if (slow) {
      this.#shrink();
    } else if (concurrent >= this.limit / 2) {
      this.#limit = Math.min(this.#maxLimit, this.#limit + 1 / this.#limit);
    }
  }

  recordFailure(): void {
    this.#shrink();
  }

  #shrink(): void {
    this.#limit = Math.max(MIN_LIMIT, this.#limit * SHRINK_FACTOR);
  }
}
