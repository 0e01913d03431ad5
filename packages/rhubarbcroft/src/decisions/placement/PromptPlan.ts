/** The engines of a prompt: one that prefills and decodes, or one that prefills and one that decodes. */
interface PromptPlan {
  /** The engine that decodes the answer. */
  readonly engineId: string;
  /** The engine that prefills the prompt; undefined if the decode engine does. */
  readonly prefillId: string | undefined;
  /** The engine whose KV cache shared parts are copied from before the prefill; undefined without a copy. */
  readonly copyFromId: string | undefined;
  /** The estimated duration of the prefill, without the wait before it. */
  readonly prefillMs: number;
  /** The pace of the engine that prefills, which the estimate includes. */
  readonly pace: number;
  /** The estimated time to first token. */
  readonly expectedFirstTokenMs: number;
  /** The cost of the plan for this request and others, in milliseconds of wait; the lowest is chosen. */
  readonly costMs: number;
}

export default PromptPlan;
