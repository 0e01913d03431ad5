/** The properties of a prompt, as declared by its caller. */
import type PromptPart from './PromptPart.js';

interface Prompt {
  readonly model: string;
  readonly promptTokens: number;
  /** The expected number of tokens of the answer: the caller's estimate, at most its own limit. */
  readonly outputTokens: number;
  readonly parts: readonly PromptPart[];
  readonly bodyBytes: number;
}

export default Prompt;
