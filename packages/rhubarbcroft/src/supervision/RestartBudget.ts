/** Limits how often a supervisor may restart its children within a sliding period. */
interface RestartBudgetLimits {
  readonly restarts: number;
  readonly periodMs: number;
}

export default class RestartBudget {
  readonly #limits: RestartBudgetLimits;

  #spentAtMs: readonly number[] = [];

  constructor(limits: RestartBudgetLimits) {
    this.#limits = limits;
  }

  /** Records a restart and returns true, or returns false if the budget is exhausted. */
  spend(nowMs: number): boolean {
    const recent = this.#spentAtMs.filter((atMs) => nowMs - atMs < this.#limits.periodMs);
    if (recent.length >= this.#limits.restarts) {
      this.#spentAtMs = recent;
      return false;
    }
    this.#spentAtMs = [...recent, nowMs];
    return true;
  }

  get spent(): number {
    return this.#spentAtMs.length;
  }
}
