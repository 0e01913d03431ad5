/** An attempt that has ended, with the placement that it had. */
import type AttemptResult from './AttemptResult.js';
import type Placement from './Placement.js';

interface EndedAttempt {
  readonly placement: Placement;
  readonly result: AttemptResult;
}

export default EndedAttempt;
