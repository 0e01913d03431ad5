/** The error of every `Result`: a result code, the details of this case, and whether the request ran. */
import type ResultCodeName from './ResultCodeName.js';
import type RunState from './RunState.js';

interface Failure {
  readonly code: ResultCodeName;
  readonly detail: string;
  readonly ran: RunState;
  /** How long the client should wait before it retries, in milliseconds, if known. */
  readonly retryAfterMs?: number;
}

export default Failure;
