/** Records a dispatched prompt in the state of its engine and notifies the peers. */
import estimateGenerationMs from '../decisions/room/estimateGenerationMs.js';
import type InstanceState from '../instances/InstanceState.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardRequest from './ForwardRequest.js';

interface DispatchedPrompt {
  readonly attemptId: string;
  /** Estimated duration of the prefill; 0 when the engine continues from another engine's prefill. */
  readonly prefillMs: number;
  /** Whether the engine generates tokens after the prefill. */
  readonly generates: boolean;
  /** Expected time to the end of the prefill, or to the first token, in milliseconds from now. */
  readonly expectedMs: number;
}

export default function recordDispatch(
  { clock, notifyPeers }: ForwardContext,
  { prompt, rank }: ForwardRequest,
  engine: InstanceState,
  { attemptId, prefillMs, generates, expectedMs }: DispatchedPrompt,
): void {
  if (prompt === undefined) {
    return;
  }
  const sentAtMs = clock.nowMs();
  if (prefillMs > 0) {
    engine.prefillQueue.add({ attemptId, rank, costMs: prefillMs, sentAtMs });
  }
  engine.lateness.expectFirstToken(attemptId, { rank, expectedAtMs: sentAtMs + expectedMs });
  engine.kvCache.recordPrompt(prompt.parts);
  const outputTokens = generates ? Math.max(1, Math.round(prompt.outputTokens)) : 0;
  const sharedParts = prompt.parts.slice(0, -1);
  const ownTokens = prompt.parts.at(-1)?.tokens ?? 0;
  engine.memory.hold(attemptId, {
    sharedParts,
    ownTokens: ownTokens + outputTokens,
    endsAtMs: sentAtMs + expectedMs + estimateGenerationMs(outputTokens),
  });
  notifyPeers({
    type: 'sent',
    prompt: {
      instanceId: engine.instance.id,
      rank,
      prefillMs: Math.round(prefillMs),
      outputTokens,
      ownTokens,
      sharedParts,
    },
  });
}
