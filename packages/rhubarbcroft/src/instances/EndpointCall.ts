/** One HTTP call to an endpoint. */
interface EndpointCall {
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
}

export default EndpointCall;
