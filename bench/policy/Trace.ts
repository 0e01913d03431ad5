/** A trace: the size of its fleet, the kinds of work, and the requests in order of arrival. */
import type TraceKind from './TraceKind.js';
import type TraceRequest from './TraceRequest.js';

interface Trace {
  readonly name: string;
  readonly engines: number;
  readonly nodes: number;
  readonly durationMs: number;
  readonly kinds: readonly TraceKind[];
  readonly requests: readonly TraceRequest[];
  readonly withdrawals: readonly { readonly atMs: number; readonly engine: number }[];
  /** The kind that floods the fleet and the time of the flood, if the trace has one. */
  readonly flood?: { readonly kind: string; readonly fromMs: number; readonly untilMs: number };
}

export default Trace;
