/** Decides how many replicas of a service each failure domain is to have. */
import type ScalingPlan from './ScalingPlan.js';
import type ScalingView from './ScalingView.js';

abstract class ScalingPlanner {
  abstract plan(view: ScalingView): ScalingPlan;
}

export default ScalingPlanner;
