/** A request of a trace. */
interface TraceRequest {
  readonly atMs: number;
  readonly kind: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Requests of the same conversation share their leading cache pieces; 0 if the request belongs to none. */
  readonly conversation: number;
  /** Number of leading cache pieces shared with the conversation. */
  readonly sharedPieces: number;
}

export default TraceRequest;
