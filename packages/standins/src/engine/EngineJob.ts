/** One request in the batch of a modelled engine. */
interface EngineJob {
  readonly id: string;
  /** Tokens of the prompt to prefill; 0 when its KV cache was imported from another engine. */
  readonly promptTokens: number;
  /** Length of the whole answer in tokens, including those before `resumeFrom`. */
  readonly outputTokens: number;
  /** Number of answer tokens that the caller already has; generation resumes at this index. */
  readonly resumeFrom: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Cache keys of the prompt's blocks, from the start of the prompt. */
  readonly prefixKeys: readonly string[];
  /** Whether the job ends after prefill, without generating tokens. */
  readonly prefillOnly: boolean;
}

export default EngineJob;
