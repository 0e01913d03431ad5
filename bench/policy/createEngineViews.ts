/** Creates the views of the engines of a replay that role planning takes as input. */
import type EngineView from 'rhubarbcroft/decisions/roles/EngineView';
import type SimulatedEngine from './SimulatedEngine.js';

const MS_PER_S = 1_000;

export default function createEngineViews(
  engines: readonly SimulatedEngine[],
): readonly EngineView[] {
  return engines.map(({ id, model, changing, leaving, roleSinceMs }) => {
    const { running, queuedPromptTokens } = model.readLoad();
    const { slots, prefillTokensPerS } = model.readCapacity();
    const queued = queuedPromptTokens.reduce((sum, tokens) => sum + tokens, 0);
    return {
      id,
      role: model.role,
      changing,
      available: !leaving,
      running,
      backlogMs: (queued / prefillTokensPerS) * MS_PER_S,
      slotUtilization: running / slots,
      roleSinceMs,
    };
  });
}
