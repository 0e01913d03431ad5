/** A prompt that a node dispatched to an engine, as it is reported to the peers. */
import type PromptPart from '../decisions/placement/PromptPart.js';

interface DispatchedPrompt {
  readonly instanceId: string;
  readonly rank: number;
  /** The estimated prefill time. */
  readonly prefillMs: number;
  /** The predicted number of tokens that the engine generates; 0 when it only prefills. */
  readonly outputTokens: number;
  /** The tokens of its prompt that no other prompt shares. */
  readonly ownTokens: number;
  /** The parts that other prompts may share; the engine keeps them in its cache. */
  readonly sharedParts: readonly PromptPart[];
}

export default DispatchedPrompt;
