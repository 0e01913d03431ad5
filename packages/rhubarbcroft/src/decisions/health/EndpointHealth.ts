/**
 * Passive health checking: tracks the health of an endpoint by the outcome of real requests. An endpoint that
 * is unreachable, or fails to complete consecutive answers, is ejected for a short time that doubles with each
 * ejection. Its decaying failure share makes it less preferred without excluding it. After an ejection of an
 * unreachable endpoint a single trial request is sent, and the endpoint stays avoided until the trial's
 * result: without load it looks idle and would otherwise attract all requests.
 */
import DecayingSum from '../DecayingSum.js';

/** The first and the longest ejection. Replicas recover within seconds; requests use other endpoints meanwhile. */
const MIN_EJECTION_MS = 250;
const MAX_EJECTION_MS = 2_000;
/** The time reserved for a trial before the next one may start: a connection attempt succeeds or fails sooner. */
const TRIAL_MS = 500;
/** How long an endpoint is avoided that a peer could not reach: as long as a trial by this node takes. */
const PEER_REPORT_MS = 500;
/** An answer within this time shows that this node can reach the endpoint, whatever a peer reports. */
const RECENT_ANSWER_MS = 500;
/** How long an endpoint is avoided that rejected a request because it is full or executes an order. */
const REJECTION_MS = 250;
/** Consecutive incomplete answers before a reachable endpoint is ejected. */
const INCOMPLETE_ANSWERS_TO_EJECT = 2;
/** The time constant of the failure share: about the length of a fault as specified for the deployment. */
const FAILURE_WINDOW_MS = 4_000;
/** Successes that every endpoint is credited with, so that a first failure does not dominate the share. */
const PRIOR_SUCCESSES = 2;

export default class EndpointHealth {
  readonly #failures = new DecayingSum(FAILURE_WINDOW_MS);

  readonly #successes = new DecayingSum(FAILURE_WINDOW_MS);

  #consecutiveIncomplete = 0;

  #ejectionMs = MIN_EJECTION_MS;

  #ejectedUntilMs = -Infinity;

  /** Until when the endpoint is avoided for a trial, a peer's report or a rejection. */
  #avoidedUntilMs = -Infinity;

  #isUnreachable = false;

  #answeredAtMs = -Infinity;

  /** Records that an answer has started, which ends the ejection of an unreachable endpoint. */
  recordAnswerStart(nowMs: number): void {
    this.#answeredAtMs = nowMs;
    if (this.#isUnreachable) {
      this.#isUnreachable = false;
      this.#ejectionMs = MIN_EJECTION_MS;
      this.#ejectedUntilMs = nowMs;
      this.#avoidedUntilMs = nowMs;
    }
  }

  /**
   * Called before a request is sent. The first one after the ejection of an unreachable endpoint is sent alone,
   * as a trial.
   */
  beginTrial(nowMs: number): void {
    if (this.#isUnreachable && !this.isAvoided(nowMs)) {
      this.#avoidedUntilMs = nowMs + TRIAL_MS;
    }
  }

  /** Records that a peer could not reach the endpoint; ignored if the endpoint has just answered this node. */
  recordPeerReport(nowMs: number): void {
    if (nowMs - this.#answeredAtMs > RECENT_ANSWER_MS) {
      this.#avoidedUntilMs = Math.max(this.#avoidedUntilMs, nowMs + PEER_REPORT_MS);
    }
  }

  /** Records that the endpoint rejected a request that it cannot serve now; this does not count as a failure. */
  recordRejection(nowMs: number): void {
    this.#avoidedUntilMs = Math.max(this.#avoidedUntilMs, nowMs + REJECTION_MS);
  }

  /** Records a complete answer. */
  recordSuccess(nowMs: number): void {
    this.#successes.add(1, nowMs);
    this.#consecutiveIncomplete = 0;
    this.#ejectionMs = MIN_EJECTION_MS;
  }

  /** Records that the endpoint answered with an error; it is reachable. */
  recordError(nowMs: number): void {
    this.#failures.add(1, nowMs);
  }

  /** Records that an answer was cut off or never arrived. */
  recordIncompleteAnswer(nowMs: number): void {
    this.#failures.add(1, nowMs);
    this.#consecutiveIncomplete += 1;
    if (this.#consecutiveIncomplete >= INCOMPLETE_ANSWERS_TO_EJECT) {
      this.#eject(nowMs);
    }
  }

  /** Records that no connection could be established. */
  recordUnreachable(nowMs: number): void {
    this.#failures.add(1, nowMs);
    this.#isUnreachable = true;
    this.#eject(nowMs);
  }

  /** Whether the endpoint is ejected or avoided now. */
  isAvoided(nowMs: number): boolean {
    return nowMs < Math.max(this.#ejectedUntilMs, this.#avoidedUntilMs);
  }

  /** The share of recent requests that failed, 0 to 1. */
  readFailureShare(nowMs: number): number {
    const failures = this.#failures.read(nowMs);
    return failures / (failures + this.#successes.read(nowMs) + PRIOR_SUCCESSES);
  }

  /** Ejects the endpoint, unless it is ejected already: requests that fail together cause one ejection. */
  #eject(nowMs: number): void {
    if (nowMs >= this.#ejectedUntilMs) {
      this.#ejectedUntilMs = nowMs + this.#ejectionMs;
      this.#ejectionMs = Math.min(this.#ejectionMs * 2, MAX_EJECTION_MS);
    }
  }
}
