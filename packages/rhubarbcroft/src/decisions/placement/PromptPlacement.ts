/** Decides which engines serve a prompt. */
import type EngineCandidate from './EngineCandidate.js';
import type Prompt from './Prompt.js';
import type PromptPlan from './PromptPlan.js';

abstract class PromptPlacement {
  /** Returns undefined if no candidate can decode. */
  abstract choose(prompt: Prompt, candidates: readonly EngineCandidate[]): PromptPlan | undefined;
}

export default PromptPlacement;
