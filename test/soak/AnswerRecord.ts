/** How a request ended for its caller. */
interface AnswerRecord {
  readonly requestId: string;
  readonly path: string;
  readonly node: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** Undefined when the connection ended without the head of an answer. */
  readonly status: number | undefined;
  readonly signature: string | undefined;
  /** What came of the body. */
  readonly body: string;
  /** Whether the body ended as announced. */
  readonly isComplete: boolean;
}

export default AnswerRecord;
