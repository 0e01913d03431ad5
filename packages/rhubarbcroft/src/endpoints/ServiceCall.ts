/** A request to a plain service. */
interface ServiceCall {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /**
   * Whether the call may run more than once. A call that may not is sent on a new connection, and not sent again
   * unless it certainly did not start.
   */
  readonly repeatable: boolean;
}

export default ServiceCall;
