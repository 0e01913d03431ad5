/** One HTTP request to an endpoint. */
interface EndpointCall {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
}

export default EndpointCall;
