/** Counts what is sent to an engine there, and tells the peers. */
import type InstanceState from '../instances/InstanceState.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardRequest from './ForwardRequest.js';

interface SentWork {
  readonly attemptId: string;
  /** How long the engine is thought to prefill; 0 when it continues from another's prefill. */
  readonly prefillMs: number;
  readonly generates: boolean;
  /** When the prefill, or the first token, is expected. */
  readonly expectedMs: number;
}

export default function noteSend(
  { clock, tellPeers }: ForwardContext,
  { prompt, route }: ForwardRequest,
  engine: InstanceState,
  { attemptId, prefillMs, generates, expectedMs }: SentWork,
): void {
  if (prompt === undefined) {
    return;
  }
  const { rank } = route;
  const sentAtMs = clock.nowMs();
  if (prefillMs > 0) {
    engine.queue.add({ attemptId, rank, costMs: prefillMs, sentAtMs });
  }
  engine.lateness.begin(attemptId, { rank, endsAtMs: sentAtMs + expectedMs });
  engine.cache.touch(prompt.parts);
  tellPeers({
    type: 'sent',
    prompt: {
      instanceId: engine.instance.id,
      rank,
      prefillMs: Math.round(prefillMs),
      outputTokens: generates ? Math.max(1, Math.round(prompt.outputTokens)) : 0,
      sharedParts: prompt.parts.slice(0, -1),
    },
  });
}
