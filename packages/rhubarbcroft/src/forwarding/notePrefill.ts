/** Counts a prompt that is sent to an engine in its queue here, and tells the peers. */
import type InstanceState from '../instances/InstanceState.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardRequest from './ForwardRequest.js';

export default function notePrefill(
  { clock, noteSent }: ForwardContext,
  { prompt, route }: ForwardRequest,
  engine: InstanceState,
  attemptId: string,
  costMs: number,
): void {
  const { rank } = route;
  engine.queue.add({ attemptId, rank, costMs, sentAtMs: clock.nowMs() });
  noteSent({
    instanceId: engine.instance.id,
    rank,
    prefillMs: Math.round(costMs),
    sharedParts: prompt?.parts.slice(0, -1) ?? [],
  });
}
