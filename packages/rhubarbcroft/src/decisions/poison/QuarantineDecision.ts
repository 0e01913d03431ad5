/** Whether a request may be dispatched. A trial is the one request that tests whether a part still crashes engines. */
import type PartTrial from './PartTrial.js';

type QuarantineDecision =
  | { readonly type: 'allowed' }
  | { readonly type: 'trial'; readonly trials: readonly PartTrial[] }
  | {
      readonly type: 'held';
      readonly part: string;
      readonly crashes: number;
      readonly retryAfterMs: number;
    };

export default QuarantineDecision;
