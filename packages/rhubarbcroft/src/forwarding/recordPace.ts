/** Records a measurement of an endpoint's pace, and reports it to the peers and the log when it has changed. */
import type PaceMeasure from '../decisions/pace/PaceMeasure.js';
import type InstanceState from '../instances/InstanceState.js';
import type ForwardContext from './ForwardContext.js';

interface PaceRecorders extends Pick<ForwardContext, 'clock' | 'log'> {
  readonly notifyPeers?: ForwardContext['notifyPeers'] | undefined;
}

export default function recordPace(
  { clock, notifyPeers, log }: PaceRecorders,
  { instance, pace }: InstanceState,
  measure: PaceMeasure,
  value: number,
): void {
  const nowMs = clock.nowMs();
  if (pace.record(measure, value, nowMs)) {
    notifyPeers?.({ type: 'pace', pace: { instanceId: instance.id, measure, value } });
  }
  const change = pace.takeChange(measure, nowMs);
  if (change !== undefined) {
    log.info({ instance: instance.id, measure, ...change }, 'pace of the endpoint has changed');
  }
}
