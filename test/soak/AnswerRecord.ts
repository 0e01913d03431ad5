/** The outcome of a request as its caller observed it. */
interface AnswerRecord {
  readonly requestId: string;
  readonly path: string;
  readonly node: string;
  /** The parts of its prompt, as sent in `x-prefix-hash`. */
  readonly parts: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** HTTP status; undefined if the connection ended before the response headers. */
  readonly status: number | undefined;
  /** The `x-response-seal` header. */
  readonly signature: string | undefined;
  /** The part of the body that was received. */
  readonly body: string;
  /** Whether the body was received to its end, without a broken connection. */
  readonly isComplete: boolean;
  /** Why the answer is not complete; undefined if it is. */
  readonly errorCode: string | undefined;
}

export default AnswerRecord;
