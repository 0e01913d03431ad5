/** The instances that one attempt of a request uses. */
import type InstanceState from '../instances/InstanceState.js';

interface Placement {
  readonly target: InstanceState;
  /** The engine that prefills the prompt before the target continues; undefined when the target does both. */
  readonly prefill: InstanceState | undefined;
  /** The engine whose KV cache holds more of the prompt than that of the engine that prefills. */
  readonly copyFrom: InstanceState | undefined;
  /** How long the prefill is thought to take once it begins; 0 for a plain call. */
  readonly prefillMs: number;
  readonly expectedMs: number;
}

export default Placement;
