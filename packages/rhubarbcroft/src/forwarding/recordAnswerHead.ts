/** Records what the head of any answer tells about its endpoint: that it answers, its load, and whether it leaves. */
import type InstanceState from '../instances/InstanceState.js';
import type InstanceRegistry from '../instances/InstanceRegistry.js';
import type Clock from '../supervision/Clock.js';
import type AnswerMetadata from './AnswerMetadata.js';

interface AnswerRecorders {
  readonly registry: InstanceRegistry;
  readonly clock: Clock;
}

export default function recordAnswerHead(
  { registry, clock }: AnswerRecorders,
  state: InstanceState,
  { load, isLeaving }: Pick<AnswerMetadata, 'load' | 'isLeaving'>,
): void {
  const nowMs = clock.nowMs();
  state.health.recordAnswerStart(nowMs);
  if (load !== undefined) {
    state.recordLoad(load, nowMs);
  }
  if (isLeaving) {
    registry.recordLeaving(state);
  }
}
