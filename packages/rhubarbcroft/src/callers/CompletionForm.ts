/** The metadata of an OpenAI completion, which each event of a stream repeats: id, model and time of creation. */
interface CompletionForm {
  readonly id: string;
  readonly model: string;
  readonly createdAtS: number;
  /** Whether the answer has the form of the chat API or of the text API. */
  readonly chat: boolean;
}

export default CompletionForm;
