/** The fields of an OpenAI completion request that the daemon uses. */
interface CompletionBody {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
}

export default CompletionBody;
