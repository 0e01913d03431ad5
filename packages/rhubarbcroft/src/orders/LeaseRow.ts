/**
 * The value of a lease row. Each takeover increments the epoch, which is the fencing token of the
 * holder's orders.
 */
interface LeaseRow {
  /** The process that holds the lease, as `nodeId/incarnation`. */
  readonly holder: string;
  readonly epoch: number;
  /** Set by a holder that shuts down, so that its successor need not wait for the expiry. */
  readonly released: boolean;
}

export default LeaseRow;
