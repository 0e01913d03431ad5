/**
 * Records the time of a complete answer that waited for no other one, and the number of calls that ran beside it. An
 * error or a redirect may take less work, so it says nothing.
 */
import type InstanceState from '../instances/InstanceState.js';
import type AnswerMetadata from './AnswerMetadata.js';
import type ForwardContext from './ForwardContext.js';
import recordPace from './recordPace.js';

interface CompleteAnswer extends Pick<AnswerMetadata, 'load'> {
  readonly status: number;
}

const FIRST_REDIRECT = 300;

export default function recordServiceTime(
  context: ForwardContext,
  state: InstanceState,
  { status, load }: CompleteAnswer,
  tookMs: number,
): void {
  if (status < FIRST_REDIRECT && load?.waiting === 0) {
    recordPace(context, state, 'service', tookMs);
    // A spell of slowness is no effect of the number of calls.
    state.concurrency.record(load.running, tookMs / (load.pace ?? 1), context.clock.nowMs());
  }
}
