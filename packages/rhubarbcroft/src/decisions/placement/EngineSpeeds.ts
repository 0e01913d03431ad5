/**
 * Estimates the prefill times of the fleet's engines from measured ones. An answer has a fixed latency, during
 * which the engine can process other requests, plus a prefill time that is linear in the new tokens and in the
 * pairs of a new token and a preceding token (attention). Tokens and pairs grow together in a prompt, so one
 * common factor is estimated for both, from large prefills on engines that were idle; the latency is
 * estimated from small prefills.
 */
/** Initial values, close to the speeds of the engines in use. */
const INITIAL_LATENCY_MS = 90;
const MS_PER_TOKEN = 1 / 60;
const MS_PER_PAIR = 0.4e-6;
/** How many times longer a prefill takes than on a prefill engine, as defined by the engine protocol. */
const STAGE_FACTORS = { prefill: 1, decode: 3 } as const;
/**
 * The weight of a sample below the estimate and of one above it. A prefill that took longer may have waited
 * behind a prompt that this node does not know of, so samples above the estimate count for less.
 */
const LOWER_SAMPLE_WEIGHT = 0.2;
const HIGHER_SAMPLE_WEIGHT = 0.02;
const MIN_FACTOR = 0.5;
const MAX_FACTOR = 2;
/** Prefills below the first threshold are samples of the latency, those above the second of the speed factor. */
const SMALL_PREFILL_MS = 20;
const LARGE_PREFILL_MS = 60;

function updateEstimate(estimate: number, sample: number): number {
  const weight = sample < estimate ? LOWER_SAMPLE_WEIGHT : HIGHER_SAMPLE_WEIGHT;
  return estimate + (sample - estimate) * weight;
}

export default class EngineSpeeds {
  #factor = 1;

  #latencyMs = INITIAL_LATENCY_MS;

  /** The time to an answer in addition to the prefill itself. */
  get latencyMs(): number {
    return this.#latencyMs;
  }

  /** Estimates how long a prefill occupies an engine. */
  estimatePrefillMs(stage: 'prefill' | 'decode', newTokens: number, cachedTokens: number): number {
    const pairs = newTokens * (cachedTokens + newTokens / 2);
    const modelMs = newTokens * MS_PER_TOKEN + pairs * MS_PER_PAIR;
    return modelMs * STAGE_FACTORS[stage] * this.#factor;
  }

  /** Updates the estimates from a prefill on an idle engine: its estimated time and the measured time to its answer. */
  record(prefillMs: number, tookMs: number): void {
    if (prefillMs < SMALL_PREFILL_MS) {
      this.#latencyMs = updateEstimate(this.#latencyMs, Math.max(0, tookMs - prefillMs));
    } else if (prefillMs > LARGE_PREFILL_MS) {
      const sample = ((tookMs - this.#latencyMs) / prefillMs) * this.#factor;
      const next = updateEstimate(this.#factor, sample);
      this.#factor = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, next));
    }
  }
}
