/** Records what the head of any answer tells about its endpoint: that it answers, its load, and whether it leaves. */
import type InstanceState from '../instances/InstanceState.js';
import recordPace from './recordPace.js';
import type ForwardContext from './ForwardContext.js';
import type AnswerMetadata from './AnswerMetadata.js';

interface AnswerRecorders extends Pick<ForwardContext, 'registry' | 'clock' | 'log'> {
  /** Undefined where a changed pace is not reported to the peers. */
  readonly notifyPeers?: ForwardContext['notifyPeers'] | undefined;
}

export default function recordAnswerHead(
  recorders: AnswerRecorders,
  state: InstanceState,
  { load, isLeaving }: Pick<AnswerMetadata, 'load' | 'isLeaving'>,
): void {
  const { registry, clock } = recorders;
  const nowMs = clock.nowMs();
  state.health.recordAnswerStart(nowMs);
  if (load !== undefined) {
    state.recordLoad(load, nowMs);
    if (load.pace !== undefined) {
      recordPace(recorders, state, 'reported', load.pace);
    }
  }
  if (isLeaving) {
    registry.recordLeaving(state);
  }
}
