/** Estimates the cost of a request in output-token equivalents, so that prefill and decode share one unit. */
import type Work from './Work.js';

/** How many times faster a token is prefilled than decoded on the same engine. */
const PREFILL_SPEEDUP = 3;

export default function estimateCost(work: Pick<Work, 'promptTokens' | 'outputTokens'>): number {
  return work.promptTokens / PREFILL_SPEEDUP + work.outputTokens;
}
