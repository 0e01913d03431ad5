/** The goodput of a request: engine seconds needed at the best rates, without the prompt tokens of shared pieces. */
import DEFAULT_ENGINE from '@rhubarbcroft/standins/engine/DEFAULT_ENGINE';
import type TraceRequest from './TraceRequest.js';

const MS_PER_S = 1_000;

const {
  prefillChunkTokens,
  prefillMsPerToken,
  baseStepMs,
  decodeSlots,
  stepMsPerSequence,
  pieceTokens,
} = DEFAULT_ENGINE;
const PREFILL_TOKENS_PER_S =
  (prefillChunkTokens / (baseStepMs + prefillChunkTokens * prefillMsPerToken)) * MS_PER_S;
const DECODE_TOKENS_PER_S =
  (decodeSlots / (baseStepMs + decodeSlots * stepMsPerSequence)) * MS_PER_S;

export default function computeEngineSeconds(request: TraceRequest): number {
  const newTokens = request.promptTokens - request.sharedPieces * pieceTokens;
  return newTokens / PREFILL_TOKENS_PER_S + request.outputTokens / DECODE_TOKENS_PER_S;
}
