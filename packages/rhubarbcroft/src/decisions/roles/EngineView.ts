/** The state of an engine that role planning decides by. */
import type EngineRole from '@rhubarbcroft/protocol/fleet/EngineRole';

interface EngineView {
  readonly id: string;
  readonly role: EngineRole;
  /** Whether the engine is changing its role now. */
  readonly changing: boolean;
  readonly available: boolean;
  readonly running: number;
  /** The estimated time to prefill the engine's queued prompts. */
  readonly backlogMs: number;
  /** The share of the engine's slots in use. */
  readonly slotUtilization: number;
  /** When the engine got its role; -Infinity if unknown. */
  readonly roleSinceMs: number;
}

export default EngineView;
