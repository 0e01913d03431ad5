/** The state of a model engine that prompt placement decides by, for one prompt. */
interface EngineCandidate {
  readonly id: string;
  readonly domain: string;
  readonly stage: 'prefill' | 'decode';
  /** Whether the engine accepts new requests; if not, its KV cache can still be copied from. */
  readonly takesWork: boolean;
  readonly slots: number;
  /** The estimated number of requests that run or wait there. */
  readonly running: number;
  /** The estimated wait of a prompt of this rank before its prefill starts. */
  readonly waitMs: number;
  /** The estimated time to prefill all queued prompts of any rank; decode is slower until then. */
  readonly prefillBacklogMs: number;
  /** The estimated number of tokens of the prompt, from its start, in the engine's KV cache. */
  readonly cachedTokens: number;
  /** How many of these tokens another engine can expect to copy from this one. */
  readonly copyableTokens: number;
  /** How many times longer work takes there than at the service's usual engine. */
  readonly pace: number;
  /** The share of recent requests that failed, 0 to 1. */
  readonly failureShare: number;
}

export default EngineCandidate;
