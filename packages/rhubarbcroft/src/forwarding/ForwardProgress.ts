/** State of a request between its attempts. */
import type RunState from '@rhubarbcroft/protocol/results/RunState';
import type AttemptHistory from './AttemptHistory.js';
import type AttemptResult from './AttemptResult.js';
import type BufferedAnswer from './BufferedAnswer.js';

interface ForwardProgress extends AttemptHistory {
  /** Number of attempts that may have run the request. */
  readonly runs: number;
  readonly ran: RunState;
  readonly last: AttemptResult | undefined;
  /** The latest buffered answer, usually an endpoint's failure; it is sent unless a later attempt gives a better one. */
  readonly held: BufferedAnswer | undefined;
}

export default ForwardProgress;
