/**
 * Refuses a request at its arrival when its first token is expected too late for its deadline. Designed for bursts that
 * exceed the engines for a few seconds, in which callers retry once or twice: a refusal costs a caller little if its
 * return is served. A return is therefore admitted as long as it can still be met, and the refused are asked to return
 * over a range of times after the queue has drained. Client accounts that got more than their share are refused sooner,
 * so that the queue stays short enough for the others; without a queue their requests are admitted all the same.
 */
import createXxHash from 'xxhash-wasm';
import AccountShares from './AccountShares.js';
import type Arrival from './Arrival.js';
import ArrivalAdmission from './ArrivalAdmission.js';
import type ArrivalDecision from './ArrivalDecision.js';
import DrainMeter from './DrainMeter.js';
import type RefusedCaller from './RefusedCaller.js';
import ReturnRecognizer from './ReturnRecognizer.js';

const { h32 } = await createXxHash();
const HASH_RANGE = 2 ** 32;
/**
 * Fraction of the remaining time within which the first token must be expected. More urgent requests that
 * arrive later overtake those that wait at an engine, so an estimated wait is as likely to double as not. A
 * request whose first token is expected in the second half mostly expires at the engine and delays others.
 */
const FIRST_BUDGET_FRACTION = 0.5;
/** The same for a return, which may have no further attempt: it is refused only when it surely comes too late. */
const RETURN_BUDGET_FRACTION = 0.65;
/** The same for a first attempt of an account that got more than its share. */
const OVER_SHARE_BUDGET_FRACTION = 0.25;
/** Callers honour a Retry-After of up to a third of their remaining time. */
const MAX_RETRY_AFTER_FRACTION = 0.3;
/** Callers that return sooner can't be told from new ones. */
const MIN_RETRY_AFTER_FRACTION = 0.2;
/** The shortest range of times over which refused callers return, as a fraction of their remaining time. */
const MIN_SPREAD_FRACTION = 0.05;

export default class DeadlineAdmission extends ArrivalAdmission {
  readonly #returns = new ReturnRecognizer();

  readonly #drain = new DrainMeter();

  readonly #shares = new Map<string, AccountShares>();

  override decide(arrival: Arrival, nowMs: number): ArrivalDecision {
    const { route, service, account, costMs, waitMs, expectedMs, remainingMs } = arrival;
    const isReturn = this.#returns.observe(route, remainingMs, nowMs);
    this.#drain.record(service, waitMs, nowMs);
    const shares = this.#resolveShares(service);
    if (account !== undefined) {
      shares.recordArrival(account, costMs, nowMs);
    }
    const isOverShare = account !== undefined && !isReturn && shares.isOverShare(account, nowMs);
    const usualMs = remainingMs * (isReturn ? RETURN_BUDGET_FRACTION : FIRST_BUDGET_FRACTION);
    const budgetMs = isOverShare ? remainingMs * OVER_SHARE_BUDGET_FRACTION : usualMs;
    if (expectedMs > budgetMs) {
      const lateCause = isReturn ? 'late_return' : 'late';
      const cause = expectedMs > usualMs ? lateCause : 'over_share';
      const retryAfterMs = this.planReturnMs(arrival, expectedMs - budgetMs);
      return { admitted: false, cause, budgetMs, retryAfterMs };
    }
    if (account !== undefined) {
      shares.recordAdmission(account, costMs, nowMs);
    }
    return { admitted: true };
  }

  /** After the excess has drained, at a time in a range that depends on the request. */
  override planReturnMs({ id, service, remainingMs }: RefusedCaller, excessMs: number): number {
    const latestMs = remainingMs * MAX_RETRY_AFTER_FRACTION;
    const earliestMs = Math.min(
      Math.max(
        this.#drain.estimateDrainMs(service, excessMs),
        remainingMs * MIN_RETRY_AFTER_FRACTION,
      ),
      latestMs - remainingMs * MIN_SPREAD_FRACTION,
    );
    const returnMs = earliestMs + ((latestMs - earliestMs) * h32(id)) / HASH_RANGE;
    return Math.max(0, Math.round(returnMs));
  }

  #resolveShares(service: string): AccountShares {
    const shares = this.#shares.get(service) ?? new AccountShares();
    this.#shares.set(service, shares);
    return shares;
  }
}
