/** The duration and output of one step of an engine's batch. */
interface StepResult {
  readonly durationMs: number;
  /** The answer token that each sequence generated in this step, as its index in the answer. */
  readonly tokens: readonly { readonly id: string; readonly index: number }[];
  /** Jobs that ended with this step, prefill-only ones included. */
  readonly finishedIds: readonly string[];
}

export default StepResult;
