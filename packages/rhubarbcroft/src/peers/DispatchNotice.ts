/**
 * Reports to the peers that a request was dispatched to an endpoint, so that their estimates of it include work
 * that its last load report does not.
 */
interface DispatchNotice {
  readonly endpointId: string;
  readonly rank: number;
  readonly promptTokens: number;
  /** On the clock of this node; the peers receive the age instead. */
  readonly sentAtMs: number;
}

export default DispatchNotice;
