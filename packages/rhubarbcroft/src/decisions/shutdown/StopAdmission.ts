/**
 * Decides which requests a node that is being stopped still takes. A request that is taken must be able to end before the
 * process exits; any other is refused at once, so that its caller can go to another node. A request whose time limit lies
 * before the end always can. Soon after the signal a request is also taken if the longest of its kind lately would end in
 * time, since most time limits are far longer than requests take, and a refusal costs its caller another connection.
 */
import type StopTimes from './StopTimes.js';

interface ArrivedRequest {
  /** When its deadline or the time-out of its route ends it. */
  readonly expiresAtMs: number;
  /** The longest time that requests of its route have taken lately; undefined if none has ended yet. */
  readonly usualMs: number | undefined;
}

/** A request that may run on into the end of the grace period must have arrived well before connections are closed. */
const EARLY_MARGIN_MS = 500;

export default class StopAdmission {
  readonly #times: StopTimes;

  #stoppedAtMs: number | undefined;

  constructor(times: StopTimes) {
    this.#times = times;
  }

  /** Records the stop signal; the first one counts. */
  begin(nowMs: number): void {
    this.#stoppedAtMs ??= nowMs;
  }

  /** When open requests are ended; Infinity while the node is not being stopped. */
  get endsAtMs(): number {
    return this.#stoppedAtMs === undefined ? Infinity : this.#stoppedAtMs + this.#times.answerMs;
  }

  admits({ expiresAtMs, usualMs = Infinity }: ArrivedRequest, nowMs: number): boolean {
    if (this.#stoppedAtMs === undefined || expiresAtMs <= this.endsAtMs) {
      return true;
    }
    const isEarly = nowMs <= this.#stoppedAtMs + this.#times.acceptMs - EARLY_MARGIN_MS;
    return isEarly && nowMs + usualMs <= this.endsAtMs;
  }
}
