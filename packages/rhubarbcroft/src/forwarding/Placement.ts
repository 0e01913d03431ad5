/** The instances that one attempt uses, and the estimated times. */
import type InstanceState from '../instances/InstanceState.js';

interface Placement {
  /** The instance that answers the request. */
  readonly target: InstanceState;
  /** The engine that prefills the prompt before the target continues; undefined when the target does both. */
  readonly prefill: InstanceState | undefined;
  /** An engine from which shared prompt parts that the prefilling engine lacks are copied; undefined for no copy. */
  readonly copyFrom: InstanceState | undefined;
  /** Estimated duration of the prefill, without waiting; 0 for a plain call. */
  readonly prefillMs: number;
  /** The pace of the engine that prefills, which the estimate includes; undefined counts as 1. */
  readonly pace?: number | undefined;
  /** Estimated time to the first token; 0 for a plain call. */
  readonly expectedMs: number;
}

export default Placement;
