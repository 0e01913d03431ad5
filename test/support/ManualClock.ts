/** A clock that a test sets by hand. */
import Clock from 'rhubarbcroft/supervision/Clock';

export default class ManualClock extends Clock {
  #nowMs = 0;

  override nowMs(): number {
    return this.#nowMs;
  }

  override unixMs(): number {
    return this.#nowMs;
  }

  override async sleep(delayMs: number): Promise<void> {
    this.#nowMs += delayMs;
  }
}
