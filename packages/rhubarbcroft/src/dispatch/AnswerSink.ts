/** Receives the tokens of an answer and encodes them for one caller protocol. */
abstract class AnswerSink {
  /** Receives the id of the endpoint that answers, before the first token is written. */
  abstract begin(endpointId: string): void;

  /** Writes tokens in order; resolves when the sink can accept more. */
  abstract write(texts: readonly string[]): Promise<void>;
}

export default AnswerSink;
