/** A part of a prompt that other requests may share; parts are in the order of the prompt. */
interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

export default PromptPart;
