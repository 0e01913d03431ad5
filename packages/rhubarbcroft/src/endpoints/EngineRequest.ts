/** The body of a request to an engine, for a generation or a prefill. */
interface EngineRequest {
  readonly attemptId: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  /** The number of tokens already received, from which the answer continues. */
  readonly resumeFrom: number;
  /** A KV cache to fetch from the engine at `url`, which computed it. */
  readonly importKv?: { readonly url: string; readonly handle: string };
}

export default EngineRequest;
