/**
 * The pace of an endpoint as measured on its answers. Queues that this node does not know of and parts wrongly assumed
 * as cached only lengthen an answer, so the estimate is a low one of the recent samples: the second smallest, since a
 * part cached without this node's knowledge shortens single ones. Only several slow answers raise it, one fast answer
 * does not lower it, and without recent samples there is no estimate.
 */
import PaceEstimate from './PaceEstimate.js';

const MIN_SAMPLES = 3;
const WINDOW_MS = 8_000;
/** Several samples of the last two seconds that agree on a large change replace those of the whole window. */
const MIN_FRESH_SAMPLES = 5;
const FRESH_MS = 2_000;
const LARGE_RATIO = 2;

/** The second smallest value. */
function findLow(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[1];
}

/** An estimate without new samples changes only as old ones leave the window. */
const KEPT_MS = 250;

interface KeptEstimate {
  readonly value: number | undefined;
  readonly atMs: number;
}

export default class MeasuredPace extends PaceEstimate {
  #kept: KeptEstimate | undefined;

  override record(value: number, nowMs: number): void {
    super.record(value, nowMs);
    this.#kept = undefined;
  }

  override read(nowMs: number): number | undefined {
    if (this.#kept === undefined || nowMs - this.#kept.atMs > KEPT_MS) {
      this.#kept = { value: this.#estimate(nowMs), atMs: nowMs };
    }
    return this.#kept.value;
  }

  override readSettled(nowMs: number): number | undefined {
    return this.read(nowMs);
  }

  #estimate(nowMs: number): number | undefined {
    const values = this.#listSince(nowMs - WINDOW_MS);
    if (values.length < MIN_SAMPLES) {
      return undefined;
    }
    const low = findLow(values);
    const fresh = this.#listSince(nowMs - FRESH_MS);
    const freshLow = fresh.length < MIN_FRESH_SAMPLES ? low : findLow(fresh);
    return freshLow > low * LARGE_RATIO ? freshLow : low;
  }

  #listSince(sinceMs: number): readonly number[] {
    return this.samples.filter(({ atMs }) => atMs >= sinceMs).map(({ value }) => value);
  }
}
