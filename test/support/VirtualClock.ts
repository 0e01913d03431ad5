/** A clock for simulations, which set its time; nothing sleeps on it. */
import Clock from 'rhubarbcroft/supervision/Clock';

export default class VirtualClock extends Clock {
  timeMs = 0;

  override nowMs(): number {
    return this.timeMs;
  }

  override unixMs(): number {
    return this.timeMs;
  }

  override async sleep(): Promise<void> {
    throw new Error('nothing sleeps here');
  }
}
