/** The head of an endpoint's answer, with its body still to be read. */
interface EndpointAnswer {
  readonly status: number;
  /** Alternating names and values, as the endpoint sent them. */
  readonly rawHeaders: readonly string[];
  /** Throws when the body is truncated, or may be. */
  readonly body: AsyncIterable<Buffer>;
  /** Whether it is the first answer on its connection. */
  readonly isFirst: boolean;
}

export default EndpointAnswer;
