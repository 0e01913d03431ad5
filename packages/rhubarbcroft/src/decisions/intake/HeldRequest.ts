/** What the process holds for one request. */
interface HeldRequest {
  readonly heldBytes: number;
  /**
   * `receiving` until the body is complete, `unread` from the end of the answer until the caller has taken it, and
   * `running` between.
   */
  readonly phase: 'receiving' | 'running' | 'unread';
  /** When bytes for it last arrived. */
  readonly movedAtMs: number;
}

export default HeldRequest;
