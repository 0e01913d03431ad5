/** An endpoint's whole answer that has not been passed to the caller yet. */
interface HeldAnswer {
  readonly status: number;
  /** Names and values in turn, as the endpoint sent them. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

export default HeldAnswer;
