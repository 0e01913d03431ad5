/**
 * Refuses a request at its arrival when its first token is expected in the second half of its remaining time, and asks
 * its caller to return when the excess has passed. Designed for deployments without client accounts.
 */
import type Arrival from './Arrival.js';
import ArrivalAdmission from './ArrivalAdmission.js';
import type ArrivalDecision from './ArrivalDecision.js';
import type RefusedCaller from './RefusedCaller.js';

/** As for first attempts under `DeadlineAdmission`. */
const BUDGET_FRACTION = 0.5;
const MIN_RETRY_AFTER_MS = 300;
/** Callers honour a Retry-After of up to a third of their remaining time. */
const MAX_RETRY_AFTER_FRACTION = 0.3;

export default class BudgetAdmission extends ArrivalAdmission {
  override decide(arrival: Arrival): ArrivalDecision {
    const { expectedMs, remainingMs } = arrival;
    const budgetMs = remainingMs * BUDGET_FRACTION;
    const excessMs = expectedMs - budgetMs;
    return excessMs <= 0
      ? { admitted: true }
      : {
          admitted: false,
          cause: 'late',
          budgetMs,
          retryAfterMs: this.planReturnMs(arrival, excessMs),
        };
  }

  override planReturnMs({ remainingMs }: RefusedCaller, excessMs: number): number {
    const latestMs = remainingMs * MAX_RETRY_AFTER_FRACTION;
    return Math.round(Math.min(Math.max(excessMs, MIN_RETRY_AFTER_MS), latestMs));
  }
}
