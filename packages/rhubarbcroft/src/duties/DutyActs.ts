/** Keeps the times at which this node acted as the holder of the duties. */
import type Clock from '../supervision/Clock.js';

export default class DutyActs {
  readonly #clock: Clock;

  /** Time after its start within which a call has left this machine or never will. */
  readonly #maxCallMs: number;

  #lastActMs = -Infinity;

  #openCalls = 0;

  constructor(clock: Clock, maxCallMs: number) {
    this.#clock = clock;
    this.#maxCallMs = maxCallMs;
  }

  /** Runs a call, which counts as an act from its begin to its end. */
  async run<Value>(call: () => Promise<Value>): Promise<Value> {
    this.#openCalls += 1;
    try {
      return await call();
    } finally {
      this.#openCalls -= 1;
      this.#lastActMs = this.#clock.nowMs();
    }
  }

  /** How long a successor has to wait so that its first call comes `leaseMs` after the last one of this node. */
  computeReleaseDelayMs(leaseMs: number): number {
    return this.#openCalls > 0
      ? leaseMs + this.#maxCallMs
      : Math.max(0, leaseMs + this.#lastActMs - this.#clock.nowMs());
  }
}
