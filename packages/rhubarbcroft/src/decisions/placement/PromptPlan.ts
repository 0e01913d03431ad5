/** Where a prompt goes: to one engine whole, or to one that prefills it and one that continues. */
interface PromptPlan {
  /** The engine that generates. */
  readonly engineId: string;
  /** The engine that prefills the prompt first, if not the same one. */
  readonly prefillId: string | undefined;
  /** The engine from whose KV cache shared parts are copied before the prefill; undefined when none has more. */
  readonly copyFromId: string | undefined;
  /** How long the prefill is thought to take once it begins. */
  readonly prefillMs: number;
  readonly expectedFirstTokenMs: number;
  /** What the plan costs this request and others, in milliseconds of wait; the least is chosen. */
  readonly costMs: number;
}

export default PromptPlan;
