/** How many replicas of a service are to be there, in total and by failure domain and kind. */
import type ReplicaTarget from './ReplicaTarget.js';

interface ScalingPlan {
  /** Replicas that serve the demand, without the reserve for the loss of a failure domain. */
  readonly kept: number;
  /** All replicas that are to be ready, with that reserve. */
  readonly total: number;
  readonly targets: readonly ReplicaTarget[];
}

export default ScalingPlan;
