/**
 * Records the outcome of an attempt in the health of its endpoint. Not called when the caller disconnected or the
 * deadline passed, since neither is a fault of the endpoint.
 */
import type InstanceState from '../instances/InstanceState.js';
import type AttemptResult from './AttemptResult.js';
import type ForwardContext from './ForwardContext.js';
import recordUnreachable from './recordUnreachable.js';

const FIRST_REDIRECT = 300;

export default function recordOutcome(
  context: ForwardContext,
  target: InstanceState,
  result: AttemptResult,
): void {
  const { health } = target;
  const nowMs = context.clock.nowMs();
  if (result.type === 'streamed') {
    health.recordSuccess(nowMs);
  } else if (result.type === 'held') {
    if (result.answer.status < FIRST_REDIRECT) {
      health.recordSuccess(nowMs);
    } else {
      health.recordError(nowMs);
    }
  } else if (result.failure.kind === 'unsent') {
    recordUnreachable(context, target);
  } else if (result.failure.kind === 'rejected') {
    health.recordRejection(nowMs);
  } else {
    health.recordIncompleteAnswer(nowMs);
  }
}
