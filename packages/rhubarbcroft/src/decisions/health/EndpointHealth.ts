/**
 * Judges an endpoint by what its answers to real requests show. One that cannot be reached, or breaks
 * requests off in a row, rests for a short time that doubles; the share of failures fades and makes the
 * endpoint less attractive without excluding it. After a rest for want of a connection one request tries
 * the endpoint, and the others wait for what comes of it: an endpoint that nobody uses looks idle, and would
 * draw them all.
 */
import DecayingSum from '../DecayingSum.js';

/** First and longest rest. Replicas come back within seconds, and a request tries another in the meantime. */
const REST_MIN_MS = 250;
const REST_MAX_MS = 2_000;
/** How long one request may try an endpoint before another may: a connection is made or given up sooner. */
const TRIAL_MS = 500;
/** How long what a peer could not reach is avoided: a trial of this node's own takes as long. */
const SUSPICION_MS = 500;
/** An answer within this time shows that this node reaches what a peer could not. */
const CONTACT_MS = 500;
/** How long an endpoint that is full, or busy with an order, is avoided. */
const REJECTION_MS = 250;
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

  /** Until when it is left alone for another reason than its own failures. */
  #avoidedUntilMs = -Infinity;

  #isUnreachable = false;

  #contactAtMs = -Infinity;

  /** An answer has begun. */
  recordContact(nowMs: number): void {
    this.#contactAtMs = nowMs;
    if (this.#isUnreachable) {
      this.#isUnreachable = false;
      this.#restMs = REST_MIN_MS;
      this.#restsUntilMs = nowMs;
      this.#avoidedUntilMs = nowMs;
    }
  }

  /** A request is about to be sent; after a rest for want of a connection it goes alone. */
  beginTrial(nowMs: number): void {
    if (this.#isUnreachable && !this.isResting(nowMs)) {
      this.#avoidedUntilMs = nowMs + TRIAL_MS;
    }
  }

  /** A peer could not reach the endpoint, which says less than an answer to this node itself. */
  recordSuspicion(nowMs: number): void {
    if (nowMs - this.#contactAtMs > CONTACT_MS) {
      this.#avoidedUntilMs = Math.max(this.#avoidedUntilMs, nowMs + SUSPICION_MS);
    }
  }

  /** The endpoint declined a request that it cannot serve now, which is no failure. */
  recordRejection(nowMs: number): void {
    this.#avoidedUntilMs = Math.max(this.#avoidedUntilMs, nowMs + REJECTION_MS);
  }

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
    this.#isUnreachable = true;
    this.#rest(nowMs);
  }

  isResting(nowMs: number): boolean {
    return nowMs < Math.max(this.#restsUntilMs, this.#avoidedUntilMs);
  }

  /** The recent share of failures, 0 to 1. */
  readFailureShare(nowMs: number): number {
    const failures = this.#failures.read(nowMs);
    return failures / (failures + this.#successes.read(nowMs) + PRIOR_SUCCESSES);
  }

  #rest(nowMs: number): void {
    if (nowMs >= this.#restsUntilMs) {
      this.#restsUntilMs = nowMs + this.#restMs;
      this.#restMs = Math.min(this.#restMs * 2, REST_MAX_MS);
    }
  }
}
