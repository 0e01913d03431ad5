/** The time by which a request must be complete to count: its arrival plus its targets for all tokens. */
import type Trace from './Trace.js';
import type TraceKind from './TraceKind.js';
import type TraceRequest from './TraceRequest.js';

export default function computeDeadlineMs(trace: Trace, request: TraceRequest): number {
  const kind = trace.kinds.find(({ name }) => name === request.kind) as TraceKind;
  return request.atMs + kind.firstTokenMs + request.outputTokens * kind.betweenTokensMs;
}
