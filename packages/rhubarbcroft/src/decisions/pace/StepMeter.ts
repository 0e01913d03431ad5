/**
 * Measures the time between the events of one stream without what prefills on the same engine add to it: the lower
 * quartile.
 */
const MIN_GAPS = 3;
const MAX_GAPS = 15;

export default class StepMeter {
  readonly #gapsMs: number[] = [];

  #lastAtMs: number | undefined;

  recordEvent(nowMs: number): void {
    if (this.#lastAtMs !== undefined && this.#gapsMs.length < MAX_GAPS) {
      this.#gapsMs.push(nowMs - this.#lastAtMs);
    }
    this.#lastAtMs = nowMs;
  }

  /** Restarts after a pause that the caller, not the endpoint, caused. */
  restart(): void {
    this.#lastAtMs = undefined;
  }

  /** The measured time; undefined for a stream of few events. */
  read(): number | undefined {
    return this.#gapsMs.length < MIN_GAPS
      ? undefined
      : [...this.#gapsMs].sort((a, b) => a - b)[Math.floor(this.#gapsMs.length / 4)];
  }
}
