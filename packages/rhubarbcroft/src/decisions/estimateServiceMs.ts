/** Estimates the minimum time from dispatch to the last token of a model request, on an otherwise idle engine. */
import type Work from './Work.js';

const PREFILL_MS_PER_TOKEN = 0.06;
const DECODE_MS_PER_TOKEN = 6;

export default function estimateServiceMs(work: Work): number {
  return work.promptTokens * PREFILL_MS_PER_TOKEN + work.outputTokens * DECODE_MS_PER_TOKEN;
}
