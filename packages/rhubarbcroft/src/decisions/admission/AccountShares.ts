/**
 * Shares of client accounts in the work of a service, by max-min fairness: an account gets what it asks for up to a level
 * that is the same for all, so that unused shares are lent out, and none gets less than an equal part. Designed for a
 * few large accounts whose bursts exceed the engines; small ones then stay below the level. Each attempt of a caller
 * counts as demand of its account, repeated ones too. Callers are spread over the nodes by a hash, so that what one node
 * receives is a sample of the fleet's demand; no node asks another.
 */
import DecayingSum from '../DecayingSum.js';

interface Usage {
  readonly asked: DecayingSum;
  readonly admitted: DecayingSum;
}

/** About the length of the bursts within which accounts compete. */
const WINDOW_MS = 10_000;
/** Below this number of requests in the window, what this node has seen says too little about the accounts. */
const MIN_REQUESTS = 6;
/** An account is over its share from this multiple of it on; the sums are not exact. */
const TOLERANCE = 1.01;
const MAX_ACCOUNTS = 1_024;

export default class AccountShares {
  readonly #usages = new Map<string, Usage>();

  readonly #requests = new DecayingSum(WINDOW_MS);

  recordArrival(account: string, costMs: number, nowMs: number): void {
    this.#requests.add(1, nowMs);
    this.#resolve(account).asked.add(costMs, nowMs);
  }

  recordAdmission(account: string, costMs: number, nowMs: number): void {
    this.#resolve(account).admitted.add(costMs, nowMs);
  }

  /** Whether the account was recently admitted beyond its share. */
  isOverShare(account: string, nowMs: number): boolean {
    const usage = this.#usages.get(account);
    if (usage === undefined || this.#requests.read(nowMs) < MIN_REQUESTS) {
      return false;
    }
    return usage.admitted.read(nowMs) > this.#findLevel(nowMs) * TOLERANCE;
  }

  /** The level up to which every account gets what it asks for, when together they get what was admitted. */
  #findLevel(nowMs: number): number {
    const usages = [...this.#usages.values()];
    const demands = usages.map(({ asked }) => asked.read(nowMs)).sort((a, b) => a - b);
    let left = usages.reduce((sum, { admitted }) => sum + admitted.read(nowMs), 0);
    for (let index = 0; index < demands.length; index += 1) {
      const equalPart = left / (demands.length - index);
      if (demands[index] >= equalPart) {
        return equalPart;
      }
      left -= demands[index];
    }
    return Infinity;
  }

  /** Keeps the accounts that were seen last. */
  #resolve(account: string): Usage {
    const usage = this.#usages.get(account) ?? {
      asked: new DecayingSum(WINDOW_MS),
      admitted: new DecayingSum(WINDOW_MS),
    };
    this.#usages.delete(account);
    this.#usages.set(account, usage);
    if (this.#usages.size > MAX_ACCOUNTS) {
      const [leastRecent] = this.#usages.keys();
      this.#usages.delete(leastRecent);
    }
    return usage;
  }
}
