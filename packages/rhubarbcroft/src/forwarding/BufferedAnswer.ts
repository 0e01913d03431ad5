/** An endpoint's complete answer, kept in memory until it is sent to the caller. */
interface BufferedAnswer {
  readonly status: number;
  /** Alternating names and values, as the endpoint sent them. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

export default BufferedAnswer;
