/** Measures the offered load by model; a short and a long window together give the trend. */
import DecayingSum from '../DecayingSum.js';
import type Demand from './Demand.js';

const SHORT_WINDOW_MS = 15_000;
const LONG_WINDOW_MS = 60_000;
const TREND_GAIN = 0.2;
const MS_PER_S = 1_000;
const MAX_MODELS = 256;

interface Meters {
  readonly shortPrompt: DecayingSum;
  readonly longPrompt: DecayingSum;
  readonly shortOutput: DecayingSum;
  readonly longOutput: DecayingSum;
}

function createMeters(): Meters {
  return {
    shortPrompt: new DecayingSum(SHORT_WINDOW_MS),
    longPrompt: new DecayingSum(LONG_WINDOW_MS),
    shortOutput: new DecayingSum(SHORT_WINDOW_MS),
    longOutput: new DecayingSum(LONG_WINDOW_MS),
  };
}

/** Extrapolates the short-window rate by a part of its difference from the long-window rate. */
function extrapolate(short: DecayingSum, long: DecayingSum, nowMs: number): number {
  const shortPerS = (short.read(nowMs) / SHORT_WINDOW_MS) * MS_PER_S;
  const longPerS = (long.read(nowMs) / LONG_WINDOW_MS) * MS_PER_S;
  return Math.max(0, shortPerS + TREND_GAIN * (shortPerS - longPerS));
}

export default class DemandMeter {
  readonly #models = new Map<string, Meters>();

  record(model: string, promptTokens: number, outputTokens: number, nowMs: number): void {
    const meters = this.#resolveMeters(model);
    meters.shortPrompt.add(promptTokens, nowMs);
    meters.longPrompt.add(promptTokens, nowMs);
    meters.shortOutput.add(outputTokens, nowMs);
    meters.longOutput.add(outputTokens, nowMs);
  }

  read(model: string, nowMs: number): Demand {
    const meters = this.#models.get(model);
    if (meters === undefined) {
      return { promptTokensPerS: 0, outputTokensPerS: 0 };
    }
    return {
      promptTokensPerS: extrapolate(meters.shortPrompt, meters.longPrompt, nowMs),
      outputTokensPerS: extrapolate(meters.shortOutput, meters.longOutput, nowMs),
    };
  }

  list(nowMs: number): readonly (Demand & { readonly model: string })[] {
    return [...this.#models.keys()].map((model) => ({ model, ...this.read(model, nowMs) }));
  }

  #resolveMeters(model: string): Meters {
    const known = this.#models.get(model);
    if (known !== undefined) {
      return known;
    }
    if (this.#models.size >= MAX_MODELS) {
      this.#models.clear();
    }
    const meters = createMeters();
    this.#models.set(model, meters);
    return meters;
  }
}
