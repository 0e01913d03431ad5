/** A part of a prompt that other requests may share; the parts of a prompt are listed in its order. */
interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

export default PromptPart;
