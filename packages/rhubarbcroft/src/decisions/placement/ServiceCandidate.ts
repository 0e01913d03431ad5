/** An endpoint of a plain service as the placement of calls sees it. */
import type Distance from './Distance.js';

interface ServiceCandidate {
  readonly id: string;
  readonly distance: Distance;
  readonly slots: number;
  /** Calls that it is thought to run or have waiting. */
  readonly running: number;
  /** The recent share of failures, 0 to 1. */
  readonly failureShare: number;
}

export default ServiceCandidate;
