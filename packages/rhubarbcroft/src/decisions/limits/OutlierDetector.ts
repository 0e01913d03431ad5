/**
 * Ejects an endpoint after consecutive failures, for longer each time, and then ramps its load up. With
 * `mayEject` the caller limits how much of a group is ejected at once, for example at most half.
 */
const FAILURES_TO_EJECT = 3;
const EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 60_000;
const RAMP_MS = 10_000;
const MIN_RAMP_FRACTION = 0.1;

export default class OutlierDetector {
  #consecutiveFailures = 0;

  #ejections = 0;

  #ejectedUntilMs = -Infinity;

  #readySinceMs: number;

  constructor(nowMs: number) {
    this.#readySinceMs = nowMs - RAMP_MS;
  }

  recordSuccess(nowMs: number): void {
    this.#consecutiveFailures = 0;
    if (nowMs - this.#ejectedUntilMs > MAX_EJECTION_MS) {
      this.#ejections = 0;
    }
  }

  /** Records a failure; returns true if it ejects the endpoint. */
  recordFailure(nowMs: number, mayEject: boolean): boolean {
    this.#consecutiveFailures += 1;
    if (this.#consecutiveFailures < FAILURES_TO_EJECT || !mayEject) {
      return false;
    }
    this.#ejections += 1;
    this.#consecutiveFailures = 0;
    this.#ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, EJECTION_MS * this.#ejections);
    this.#readySinceMs = this.#ejectedUntilMs;
    return true;
  }

  /** Restarts the ramp, as for an endpoint that has just started. */
  restartRamp(nowMs: number): void {
    this.#readySinceMs = nowMs;
    this.#consecutiveFailures = 0;
  }

  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  /** The share of its normal load that the endpoint gets now, from MIN_RAMP_FRACTION to 1. */
  readRampFraction(nowMs: number): number {
    const fraction = (nowMs - this.#readySinceMs) / RAMP_MS;
    return Math.min(1, Math.max(MIN_RAMP_FRACTION, fraction));
  }
}
