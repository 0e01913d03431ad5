/** A task that runs `runOnce` and sleeps for a fixed period, repeatedly, until it is stopped. */
import type Clock from './Clock.js';
import Task from './Task.js';

abstract class PeriodicTask extends Task {
  protected readonly clock: Clock;

  readonly #periodMs: number;

  constructor(clock: Clock, periodMs: number) {
    super();
    this.clock = clock;
    this.#periodMs = periodMs;
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.runOnce(signal);
      await this.clock.sleep(this.#periodMs, signal);
    }
  }

  protected abstract runOnce(signal: AbortSignal): Promise<void>;
}

export default PeriodicTask;
