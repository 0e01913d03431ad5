/** A model engine as the placement of prompts sees it. */
interface EngineCandidate {
  readonly id: string;
  readonly domain: string;
  readonly stage: 'prefill' | 'decode';
  /** Whether it may be given work; one that may not can still be copied from. */
  readonly takesWork: boolean;
  readonly slots: number;
  /** Requests that it is thought to run or have waiting. */
  readonly running: number;
  /** How long a new prompt of the rank in question is thought to wait there. */
  readonly waitMs: number;
  /** How long it is thought to prefill altogether; tokens come slowly meanwhile. */
  readonly prefillingMs: number;
  /** Tokens of the prompt in question, from its start, that are thought to be in its KV cache. */
  readonly cachedTokens: number;
  /** The part of them that another engine may count on when it copies from this one. */
  readonly copyableTokens: number;
  /** The recent share of failures, 0 to 1. */
  readonly failureShare: number;
}

export default EngineCandidate;
