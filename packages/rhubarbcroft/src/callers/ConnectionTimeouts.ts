/** Time limits for the head of a request and for a connection without a request. */
interface ConnectionTimeouts {
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export default ConnectionTimeouts;
