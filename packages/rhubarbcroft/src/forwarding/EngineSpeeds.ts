/**
 * How fast the engines of the fleet prefill and move KV cache. The prefill speed is learnt from prefill
 * calls that found an engine idle; the transfer speed follows from what the operator says of the links.
 */
import type RoutingHolder from '../routes/RoutingHolder.js';

/** Where the learnt speed starts: both users' engines read about 60 prompt tokens in a millisecond. */
const INITIAL_TOKENS_PER_MS = 55;
/** The weight of a new sample. */
const SAMPLE_WEIGHT = 0.1;
/** Smaller prompts say more of the call's latency than of the engine. */
const MIN_SAMPLE_TOKENS = 1_000;
const DECODE_PREFILL_FACTOR = 2;
const BITS_PER_BYTE = 8;
const KILOBITS_PER_MEGABIT = 1_000;
const DEFAULT_TRANSFER_MS_PER_TOKEN = 0.001;

export default class EngineSpeeds {
  readonly #routing: RoutingHolder;

  #prefillTokensPerMs = INITIAL_TOKENS_PER_MS;

  constructor(routing: RoutingHolder) {
    this.#routing = routing;
  }

  get prefillTokensPerMs(): number {
    return this.#prefillTokensPerMs;
  }

  get transferMsPerToken(): number {
    const engine = this.#routing.current?.document.services.find(
      (service) => service.engine !== undefined,
    )?.engine;
    return engine === undefined
      ? DEFAULT_TRANSFER_MS_PER_TOKEN
      : (engine.kvBytesPerToken * BITS_PER_BYTE) / (engine.linkMbps * KILOBITS_PER_MEGABIT);
  }

  readTokensPerMs(stage: 'prefill' | 'decode'): number {
    return stage === 'prefill'
      ? this.#prefillTokensPerMs
      : this.#prefillTokensPerMs / DECODE_PREFILL_FACTOR;
  }

  recordPrefill(newTokens: number, tookMs: number): void {
    if (newTokens >= MIN_SAMPLE_TOKENS && tookMs > 0) {
      this.#prefillTokensPerMs += (newTokens / tookMs - this.#prefillTokensPerMs) * SAMPLE_WEIGHT;
    }
  }
}
