/** The metadata of an OpenAI completion, which each event of a stream repeats: id, model and time of creation. */
interface CompletionMetadata {
  readonly id: string;
  readonly model: string;
  readonly createdAtS: number;
  /** Whether the answer uses the chat completion format instead of the text completion format. */
  readonly chat: boolean;
}

export default CompletionMetadata;
