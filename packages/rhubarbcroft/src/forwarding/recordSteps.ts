/** Records the pace of a stream's events, relative to the usual time of a step at the same concurrency. */
import type StepMeter from '../decisions/pace/StepMeter.js';
import PLACEMENT_COSTS from '../decisions/placement/PLACEMENT_COSTS.js';
import type InstanceState from '../instances/InstanceState.js';
import type ForwardContext from './ForwardContext.js';
import recordPace from './recordPace.js';

export default function recordSteps(
  context: ForwardContext,
  state: InstanceState,
  steps: StepMeter,
): void {
  const gapMs = steps.read();
  if (gapMs !== undefined) {
    const { stepMs, stepMsPerRequest } = PLACEMENT_COSTS;
    const running = state.estimateRunning(context.clock.nowMs());
    recordPace(context, state, 'step', gapMs / (stepMs + stepMsPerRequest * running));
  }
}
