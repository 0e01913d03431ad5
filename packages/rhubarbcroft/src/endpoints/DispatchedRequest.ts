/** A request, or one stage of it, that this node has in flight at an endpoint. */
interface DispatchedRequest {
  readonly attemptId: string;
  /** Hash of the request, the same for every attempt. */
  readonly fingerprint: string;
  /** The index of the request's rank, 0 for the most urgent. */
  readonly rank: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly sentAtMs: number;
}

export default DispatchedRequest;
