/** The number of tokens delivered so far and the way in which one attempt ended. */
import type AttemptFailure from '../endpoints/AttemptFailure.js';

interface AttemptProgress {
  /** Tokens written to the caller, including those of earlier attempts. */
  readonly deliveredTokens: number;
  /** Whether an engine may have started to process the request. */
  readonly started: boolean;
  /** Undefined when the attempt completed the answer. */
  readonly failure: AttemptFailure | undefined;
  /** The id of the endpoint at which the attempt failed, or which completed it. */
  readonly failedEndpointId: string;
}

export default AttemptProgress;
