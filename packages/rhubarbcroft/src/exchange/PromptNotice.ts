/** What a node tells its peers of a prompt that it has sent to an engine. */
import type PromptPart from '../decisions/placement/PromptPart.js';

interface PromptNotice {
  readonly instanceId: string;
  readonly rank: number;
  /** How long the prefill is thought to take. */
  readonly prefillMs: number;
  /** Tokens that it is expected to generate; 0 when it only prefills. */
  readonly outputTokens: number;
  /** The parts that other prompts may share; the engine keeps them. */
  readonly sharedParts: readonly PromptPart[];
}

export default PromptNotice;
