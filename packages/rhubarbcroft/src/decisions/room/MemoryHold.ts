/** The KV cache memory that one request takes on an engine while it runs there. */
import type PromptPart from '../placement/PromptPart.js';

interface MemoryHold {
  /** The parts that requests share: those of several running requests take their memory once. */
  readonly sharedParts: readonly PromptPart[];
  /** The tokens of the request alone: the rest of its prompt, and what it is going to generate. */
  readonly ownTokens: number;
  /** When the request is expected to end. */
  readonly endsAtMs: number;
}

export default MemoryHold;
