/**
 * One token bucket for each account, in bounded memory. The least recently used accounts are evicted; an
 * evicted account that returns starts with a full bucket, like an account that was idle.
 */
interface Bucket {
  readonly tokens: number;
  readonly updatedAtMs: number;
}

interface AccountLimitsOptions {
  /** The capacity of a bucket, in seconds of its refill rate. */
  readonly burstS: number;
  readonly maxAccounts: number;
}

const MS_PER_S = 1_000;

export default class AccountLimits {
  readonly #options: AccountLimitsOptions;

  readonly #buckets = new Map<string, Bucket>();

  constructor(options: AccountLimitsOptions) {
    this.#options = options;
  }

  /**
   * Takes tokens from the account's bucket. Returns 0 if they were taken; otherwise takes none and returns
   * after how many milliseconds the bucket will hold enough. A request larger than the bucket needs a full one.
   */
  spend(account: string, tokens: number, tokensPerS: number, nowMs: number): number {
    const capacity = tokensPerS * this.#options.burstS;
    const bucket = this.#buckets.get(account) ?? { tokens: capacity, updatedAtMs: nowMs };
    const refilled = Math.min(
      capacity,
      bucket.tokens + ((nowMs - bucket.updatedAtMs) * tokensPerS) / MS_PER_S,
    );
    const needed = Math.min(tokens, capacity);
    const allowed = refilled >= needed;
    this.#store(account, { tokens: allowed ? refilled - needed : refilled, updatedAtMs: nowMs });
    return allowed ? 0 : Math.ceil(((needed - refilled) / tokensPerS) * MS_PER_S);
  }

  get size(): number {
    return this.#buckets.size;
  }

  #store(account: string, bucket: Bucket): void {
    this.#buckets.delete(account);
    this.#buckets.set(account, bucket);
    if (this.#buckets.size > this.#options.maxAccounts) {
      const [leastRecent] = this.#buckets.keys();
      this.#buckets.delete(leastRecent);
    }
  }
}
