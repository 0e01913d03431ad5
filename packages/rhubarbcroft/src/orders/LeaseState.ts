/** What a process reads of a lease before it may acquire it. */
interface LeaseState {
  /** Rises with each write of the lease. */
  readonly version: number;
  /** Whether this process wrote it, although it does not know that it holds the lease: a late effect of a lost write. */
  readonly isOwn: boolean;
  /** Set by a holder that shuts down, so that its successor need not wait for the expiry. */
  readonly isReleased: boolean;
  /** How long the successor waits after a release, counted from when it first reads of it. */
  readonly releaseDelayMs: number;
}

export default LeaseState;
