/**
 * Measures how fast the queue of a service drains: by how many milliseconds its wait has shortened for each millisecond
 * that passed. New work slows the drain down.
 */
interface DrainState {
  readonly waitMs: number;
  readonly atMs: number;
  /** 1 when no work arrives. */
  readonly rate: number;
}

/** Waits that were estimated sooner after each other differ by the sizes of the prompts rather than by the drain. */
const MIN_INTERVAL_MS = 250;
const MAX_INTERVAL_MS = 5_000;
const MIN_RATE = 0.25;
const SAMPLE_WEIGHT = 0.5;

export default class DrainMeter {
  readonly #states = new Map<string, DrainState>();

  record(service: string, waitMs: number, nowMs: number): void {
    const last = this.#states.get(service);
    const elapsedMs = nowMs - (last?.atMs ?? -Infinity);
    if (last === undefined || elapsedMs > MAX_INTERVAL_MS) {
      this.#states.set(service, { waitMs, atMs: nowMs, rate: 1 });
    } else if (elapsedMs >= MIN_INTERVAL_MS) {
      const measured = Math.min(1, Math.max(MIN_RATE, (last.waitMs - waitMs) / elapsedMs));
      const rate = last.rate + (measured - last.rate) * SAMPLE_WEIGHT;
      this.#states.set(service, { waitMs, atMs: nowMs, rate });
    }
  }

  /** How long it takes until the wait has shortened by the given time. */
  estimateDrainMs(service: string, excessMs: number): number {
    return excessMs / (this.#states.get(service)?.rate ?? 1);
  }
}
