/**
 * Estimates the prompt tokens that an endpoint prefills before a new request of the given rank index: the
 * reported tokens plus the unreported ones, less what was prefilled since the report. Endpoints prefill more
 * urgent requests first, so requests of lower ranks are not counted.
 */
import type EndpointView from './EndpointView.js';

const MS_PER_S = 1_000;

export default function estimateBacklogTokens(endpoint: EndpointView, rank: number): number {
  const { reportedPromptTokens, unseenPromptTokens, reportAgeMs, prefillTokensPerS } = endpoint;
  let reported = 0;
  let unreported = 0;
  for (let index = 0; index <= rank; index += 1) {
    reported += reportedPromptTokens[index];
    unreported += unseenPromptTokens[index];
  }
  const prefilled = (reportAgeMs * prefillTokensPerS) / MS_PER_S;
  return Math.max(0, reported + unreported - prefilled);
}
