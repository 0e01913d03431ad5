/** A clock for tests that advances only by its own `sleep`, which returns at once. */
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
