/**
 * How fast the engines of the fleet prefill. An answer takes a fixed latency, during which an engine goes
 * on with other work; reading takes time for each new token, and for each pair of a new token and one
 * before it (attention). Tokens and pairs grow together for a prompt, so one factor is learnt for both, from
 * large prefills that found an engine idle, and the latency from small ones.
 */
/** Where learning starts: figures near to those of both users' engines. */
const INITIAL_LATENCY_MS = 90;
const MS_PER_TOKEN = 1 / 60;
const MS_PER_PAIR = 0.4e-6;
/** A decode engine prefills at half the speed of a prefill engine (the engines' protocol). */
const STAGE_FACTORS = { prefill: 1, decode: 3 } as const;
/**
 * The weight of a sample below what is believed, and of one above it: what took longer may have waited
 * behind a prompt of which this node does not know.
 */
const LOWER_SAMPLE_WEIGHT = 0.2;
const HIGHER_SAMPLE_WEIGHT = 0.02;
const MIN_FACTOR = 0.5;
const MAX_FACTOR = 2;
/** Prefills shorter than the first say something of the latency, longer than the second of the speed. */
const SMALL_PREFILL_MS = 20;
const LARGE_PREFILL_MS = 60;

function approach(believed: number, sample: number): number {
  const weight = sample < believed ? LOWER_SAMPLE_WEIGHT : HIGHER_SAMPLE_WEIGHT;
  return believed + (sample - believed) * weight;
}

export default class EngineSpeeds {
  #factor = 1;

  #latencyMs = INITIAL_LATENCY_MS;

  /** What an answer takes beside the prefill itself. */
  get latencyMs(): number {
    return this.#latencyMs;
  }

  /** How long an engine is busy with a prefill. */
  estimatePrefillMs(stage: 'prefill' | 'decode', newTokens: number, cachedTokens: number): number {
    const pairs = newTokens * (cachedTokens + newTokens / 2);
    const modelMs = newTokens * MS_PER_TOKEN + pairs * MS_PER_PAIR;
    return modelMs * STAGE_FACTORS[stage] * this.#factor;
  }

  /** Learns from a prefill that was expected to take some time at an idle engine. */
  record(prefillMs: number, tookMs: number): void {
    if (prefillMs < SMALL_PREFILL_MS) {
      this.#latencyMs = approach(this.#latencyMs, Math.max(0, tookMs - prefillMs));
    } else if (prefillMs > LARGE_PREFILL_MS) {
      const sample = ((tookMs - this.#latencyMs) / prefillMs) * this.#factor;
      const next = approach(this.#factor, sample);
      this.#factor = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, next));
    }
  }
}
