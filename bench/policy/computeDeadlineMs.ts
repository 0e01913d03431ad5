/**
 * Computes the deadline of a request, in milliseconds since the start of the trace: its arrival, plus the target
 * of its kind for the first token, plus the target between tokens for each output token.
 *
 * The offline bound counts no work after the deadline, and a replay gives the deadline to the admission policy.
 * Whether a replayed request met its targets is decided by SimulatedRequest.inTarget, not by this deadline.
 */
import type Trace from './Trace.js';
import type TraceKind from './TraceKind.js';
import type TraceRequest from './TraceRequest.js';

export default function computeDeadlineMs(trace: Trace, request: TraceRequest): number {
  const kind = trace.kinds.find(({ name }) => name === request.kind) as TraceKind;
  return request.atMs + kind.firstTokenMs + request.outputTokens * kind.betweenTokensMs;
}
