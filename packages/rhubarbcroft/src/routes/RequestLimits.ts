/** Limits on the size of a caller's requests, on the time to send headers, and on idle connections. */
interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export default RequestLimits;
