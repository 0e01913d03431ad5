/** The response that a caller received to one request, with its timing. */
interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** The answer's text: the joined tokens of a completion, or the body of a service's response. */
  readonly text: string;
  /** The error of a refused request or of a stream that ended with an error. */
  readonly error:
    { readonly code: string; readonly number: number; readonly ran: string } | undefined;
  /** Whether the answer is complete: a stream ended with `[DONE]`, another response carried no error. */
  readonly isComplete: boolean;
  /** Time from the request to the first token, or to the whole response if it was not streamed. */
  readonly firstTokenMs: number;
  readonly durationMs: number;
}

export default Answer;
