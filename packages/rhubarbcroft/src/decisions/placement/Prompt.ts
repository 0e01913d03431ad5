/** What a caller says of its prompt. */
import type PromptPart from './PromptPart.js';

interface Prompt {
  readonly model: string;
  readonly promptTokens: number;
  /** How many tokens the answer is expected to have: the caller's estimate within its own limit. */
  readonly outputTokens: number;
  readonly parts: readonly PromptPart[];
  readonly bodyBytes: number;
}

export default Prompt;
