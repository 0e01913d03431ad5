/** The state of a plain service's endpoint that the choice of an endpoint is based on. */
import type Distance from './Distance.js';

interface ServiceCandidate {
  readonly id: string;
  readonly distance: Distance;
  readonly slots: number;
  /** The estimated number of calls that run or wait there. */
  readonly running: number;
  /** How many times longer a call takes there than at the service's usual endpoint. */
  readonly pace: number;
  /** The share of recent calls that failed, 0 to 1. */
  readonly failureShare: number;
}

export default ServiceCandidate;
