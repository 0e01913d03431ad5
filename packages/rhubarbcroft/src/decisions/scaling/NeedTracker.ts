/**
 * Turns the need of the moment into the number of replicas to keep. Answers demand that swings over some seconds, while a
 * replica boots almost as long: growth is immediate, and ahead of a demand that exceeds that of the last swing; what a
 * whole swing needed is kept; less is kept only after the need has been lower for a while, and in steps. Without a history
 * nothing is given back.
 */
interface NeedSample {
  readonly atMs: number;
  readonly need: number;
}

interface Circumstances {
  readonly present: number;
  readonly regular: number;
  readonly aheadMs: number;
}

/** Samples over which the need is averaged: reports arrive unevenly within a second. */
const SMOOTHED_MS = 2_500;
/** Several boot times, so that a replica that was needed in the last swing isn't given back to be ordered in the next. */
const SWING_MS = 14_000;
/** How long the need must be lower before replicas are given back. */
const LOWER_MS = 3_000;
/** A difference that doesn't justify giving replicas back, as a share of those kept. */
const DEAD_BAND = 0.25;
/** The largest share of the replicas that is given back in one step. */
const MAX_STEP = 0.34;
/** By how much the need must exceed that of the last swing to count as rising further; less is chance. */
const RISE_FACTOR = 1.15;
/** Bounds the forecast: a trend over some seconds is partly chance. */
const MAX_FORECAST_GROWTH = 1.2;
/** After a longer gap the history is discarded: another node may have ordered meanwhile. */
const MAX_GAP_MS = 5_000;

function average(samples: readonly NeedSample[]): number {
  return samples.reduce((sum, { need }) => sum + need, 0) / Math.max(1, samples.length);
}

export default class NeedTracker {
  #samples: readonly NeedSample[] = [];

  #firstDemandAtMs: number | undefined;

  #kept: number | undefined;

  #lowerSinceMs: number | undefined;

  /**
   * Adds the need of the moment and returns the number to keep. Until there is a history, the `present` replicas of the
   * first call are kept, and later at least the `regular` ones: registrations arrive one by one after the start.
   * `aheadMs` is the time until an order of now has taken effect.
   */
  update(need: number, { present, regular, aheadMs }: Circumstances, nowMs: number): number {
    this.#addSample({ atMs: nowMs, need });
    const needed = Math.ceil(this.#findPeak(aheadMs, nowMs));
    const kept = this.#kept ?? present;
    if (needed >= kept * (1 - DEAD_BAND) || !this.#hasHistory(nowMs)) {
      this.#lowerSinceMs = undefined;
      this.#kept = Math.max(kept, needed, this.#hasHistory(nowMs) ? 0 : regular);
      return this.#kept;
    }
    this.#lowerSinceMs ??= nowMs;
    if (nowMs - this.#lowerSinceMs >= LOWER_MS) {
      this.#kept = Math.max(needed, Math.floor(kept * (1 - MAX_STEP)));
      this.#lowerSinceMs = nowMs;
    }
    return this.#kept ?? kept;
  }

  #addSample(sample: NeedSample): void {
    const { atMs, need } = sample;
    if (atMs - (this.#samples.at(-1)?.atMs ?? atMs) > MAX_GAP_MS) {
      this.#firstDemandAtMs = undefined;
      this.#kept = undefined;
    }
    this.#firstDemandAtMs ??= need > 0 ? atMs : undefined;
    this.#samples = [...this.#samples, sample].filter((known) => atMs - known.atMs <= SWING_MS);
  }

  /** The highest need of the last swing, or the need that is expected when an order of now has taken effect. */
  #findPeak(aheadMs: number, nowMs: number): number {
    const current = this.#smooth(nowMs);
    const earlier = this.#samples.filter(({ atMs }) => atMs < nowMs - SMOOTHED_MS);
    const highest = Math.max(0, ...earlier.map(({ atMs }) => this.#smooth(atMs)));
    const before = this.#smooth(nowMs - SMOOTHED_MS);
    if (before === 0 || current < highest * RISE_FACTOR) {
      return Math.max(current, highest);
    }
    const trendPerMs = Math.max(0, current - before) / SMOOTHED_MS;
    return Math.min(current + trendPerMs * aheadMs, current * MAX_FORECAST_GROWTH);
  }

  #smooth(untilMs: number): number {
    return average(
      this.#samples.filter(({ atMs }) => atMs <= untilMs && atMs > untilMs - SMOOTHED_MS),
    );
  }

  #hasHistory(nowMs: number): boolean {
    return this.#firstDemandAtMs !== undefined && nowMs - this.#firstDemandAtMs >= SWING_MS;
  }
}
