/**
 * This node's estimate of the true time.
 *
 * The time of day of one machine may jump, and a monotonic clock may stand still while its machine is frozen. So time
 * passes by the monotonic clock, and its distance from the true time is the median of what the clocks of several
 * machines say: at the holder of the duties those of all nodes that report to it, elsewhere what the holder answers.
 * The present estimate takes part in the median, so one machine alone, or two that differ, follow no jump.
 */
import type Clock from '../supervision/Clock.js';

interface Sample {
  readonly offsetMs: number;
  readonly receivedAtMs: number;
}

const SAMPLE_LIFE_MS = 5_000;

function findMedian(values: readonly number[], present: number): number {
  const sorted = [...values, present].sort((a, b) => a - b);
  const upper = sorted[Math.floor(sorted.length / 2)];
  const lower = sorted[Math.floor((sorted.length - 1) / 2)];
  return Math.abs(upper - present) < Math.abs(lower - present) ? upper : lower;
}

export default class TrueTime {
  readonly #clock: Clock;

  #offsetMs: number;

  #samples: ReadonlyMap<string, Sample> = new Map();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#offsetMs = clock.unixMs() - clock.nowMs();
  }

  unixMs(): number {
    return this.#clock.nowMs() + this.#offsetMs;
  }

  /** Takes note of the time of day of a peer, received just now. */
  observe(peer: string, unixMs: number): void {
    const receivedAtMs = this.#clock.nowMs();
    const sample = { offsetMs: unixMs - receivedAtMs, receivedAtMs };
    this.#samples = new Map([...this.#samples, [peer, sample]]);
  }

  /** Sets the estimate to the median of the clocks that were observed of late, this machine's own included. */
  update(): void {
    const nowMs = this.#clock.nowMs();
    this.#samples = new Map(
      [...this.#samples].filter(([, { receivedAtMs }]) => nowMs - receivedAtMs < SAMPLE_LIFE_MS),
    );
    const peers = [...this.#samples.values()].map(({ offsetMs }) => offsetMs);
    this.#offsetMs = findMedian([...peers, this.#clock.unixMs() - nowMs], this.#offsetMs);
  }

  /** Takes over the holder's estimate, sent about half-way between the request and its answer. */
  adopt(unixMs: number, requestedAtMs: number): void {
    this.#offsetMs = unixMs - (requestedAtMs + this.#clock.nowMs()) / 2;
  }
}
