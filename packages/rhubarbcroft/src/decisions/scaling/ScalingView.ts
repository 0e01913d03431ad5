/** What the plan for a service's replicas is based on. */
import type ScalingLimits from '../../routes/ScalingLimits.js';
import type ReplicaSupply from './ReplicaSupply.js';

interface ScalingView {
  readonly nowMs: number;
  readonly limits: ScalingLimits;
  /** The estimated number of engines that the demand of the moment needs. */
  readonly need: number;
  /** One entry for each failure domain and kind. */
  readonly supplies: readonly ReplicaSupply[];
}

export default ScalingView;
