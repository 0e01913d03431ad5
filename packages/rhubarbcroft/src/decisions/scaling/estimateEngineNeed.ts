/**
 * Estimates how many engines a demand needs: whichever of prefill time, memory and slots needs the most. Answers the load
 * of long prompts in bursts, whose callers wait for the first token: engines are used well below their capacity, so that a
 * prompt seldom waits behind more than one other, and a burst finds room while replicas boot.
 */
import PREFILL_FRACTION from '../roles/PREFILL_FRACTION.js';
import type DemandRate from './DemandRate.js';
import type EngineFigures from './EngineFigures.js';

/**
 * The share of the time in which a prefill engine computes. The wait for it then is about one prefill, which fits into
 * the targets for the first token, and a step to twice the demand can still be served while replicas boot.
 */
const PREFILL_UTILISATION = 0.35;
/** Shares of memory and slots in use. Engines preempt requests when they run out of memory. */
const MEMORY_UTILISATION = 0.5;
const SLOT_UTILISATION = 0.5;
const DECODE_FRACTION = 1 - PREFILL_FRACTION;
/** Time that a request spends in an engine's memory: until its first token, and for each token. */
const FIRST_TOKEN_S = 0.3;
const TOKEN_S = 0.01;
const MS_PER_S = 1_000;
/** How much more is needed when all requests are refused. */
const MAX_REFUSAL_GROWTH = 0.5;

export default function estimateEngineNeed(
  demand: DemandRate,
  { prefillMsPerToken, slots, kvCapacityTokens }: EngineFigures,
): number {
  const { requestsPerS, prefillTokensPerS, memoryTokensPerS, outputTokensPerS } = demand;
  if (requestsPerS === 0) {
    return 0;
  }
  const prefilling = (prefillTokensPerS * prefillMsPerToken) / MS_PER_S;
  const residenceS = FIRST_TOKEN_S + (outputTokensPerS / requestsPerS) * TOKEN_S;
  const refusedShare = Math.min(1, demand.refusedPerS / requestsPerS);
  return (
    Math.max(
      prefilling / (PREFILL_UTILISATION * PREFILL_FRACTION),
      (memoryTokensPerS * residenceS) / (kvCapacityTokens * MEMORY_UTILISATION * DECODE_FRACTION),
      (requestsPerS * residenceS) / (slots * SLOT_UTILISATION * DECODE_FRACTION),
    ) *
    (1 + refusedShare * MAX_REFUSAL_GROWTH)
  );
}
