/**
 * Judges an endpoint by what its answers to real requests show. One that cannot be reached, or breaks
 * requests off in a row, rests for a short time that doubles; the share of failures fades and makes the
 * endpoint less attractive without excluding it.
 */
import DecayingSum from '../DecayingSum.js';

/** First and longest rest. Replicas come back within seconds, and a request tries another in the meantime. */
const REST_MIN_MS = 250;
const REST_MAX_MS = 2_000;
/** Breaks in a row before an endpoint that can be reached rests. */
const BREAKS_TO_REST = 2;
/** How far back failures count, about the length of a fault on the users' sheet. */
const FAILURE_WINDOW_MS = 4_000;
/** Successes that an endpoint without history is credited with. */
const PRIOR_SUCCESSES = 2;

export default class EndpointHealth {
  readonly #failures = new DecayingSum(FAILURE_WINDOW_MS);

  readonly #successes = new DecayingSum(FAILURE_WINDOW_MS);

  #consecutiveBreaks = 0;

  #restMs = REST_MIN_MS;

  #restsUntilMs = -Infinity;

  recordSuccess(nowMs: number): void {
    this.#successes.add(1, nowMs);
    this.#consecutiveBreaks = 0;
    this.#restMs = REST_MIN_MS;
  }

  /** The endpoint answered with a failure of its own; it can be reached. */
  recordError(nowMs: number): void {
    this.#failures.add(1, nowMs);
  }

  /** An answer broke off or did not come. */
  recordBreak(nowMs: number): void {
    this.#failures.add(1, nowMs);
    this.#consecutiveBreaks += 1;
    if (this.#consecutiveBreaks >= BREAKS_TO_REST) {
      this.#rest(nowMs);
    }
  }

  /** No connection could be made. */
  recordUnreachable(nowMs: number): void {
    this.#failures.add(1, nowMs);
    this.#rest(nowMs);
  }

  isResting(nowMs: number): boolean {
    return nowMs < this.#restsUntilMs;
  }

  /** The recent share of failures, 0 to 1. */
  readFailureShare(nowMs: number): number {
    const failures = this.#failures.read(nowMs);
    return failures / (failures + this.#successes.read(nowMs) + PRIOR_SUCCESSES);
  }

  #rest(nowMs: number): void {
    if (!this.isResting(nowMs)) {
      this.#restsUntilMs = nowMs + this.#restMs;
      this.#restMs = Math.min(this.#restMs * 2, REST_MAX_MS);
    }
  }
}
