/** What a caller says of its prompt. */
import type PromptPart from './PromptPart.js';

interface Prompt {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly parts: readonly PromptPart[];
  readonly bodyBytes: number;
}

export default Prompt;
