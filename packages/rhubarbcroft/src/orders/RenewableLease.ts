/**
 * A lease that one process holds and renews, whatever store keeps it.
 *
 * The holder measures the time to live from before it sent the renewal and gives up its authority a safety margin
 * before the lease expires. It measures by its monotonic clock and by the time of day, and uses the lease only while
 * the two agree: a process that was frozen, or whose time of day was set, renews the lease before it acts again.
 * Another process takes the lease over only after it has observed it unchanged for the whole time to live, by its own
 * monotonic clock, so clocks of two VMs are never compared. Every change of holder has a new epoch.
 */
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type Clock from '../supervision/Clock.js';
import type LeaseState from './LeaseState.js';

interface LeaseTiming {
  readonly clock: Clock;
  readonly ttlMs: number;
  /** How long before the expiry of the lease the holder stops using it. */
  readonly marginMs: number;
}

interface HeldGrant<Grant> {
  readonly grant: Grant;
  readonly sentAtMs: number;
  readonly sentUnixMs: number;
}

interface ObservedState {
  readonly version: number;
  readonly sinceMs: number;
  /** How long it has to stay unchanged before another process may take the lease over. */
  readonly waitMs: number;
}

/** Largest difference between two clocks that run at the same speed within one time to live. */
const CLOCK_AGREEMENT_MS = 250;

abstract class RenewableLease<Grant> {
  readonly #timing: LeaseTiming;

  #held: HeldGrant<Grant> | undefined;

  #observed: ObservedState | undefined;

  constructor(timing: LeaseTiming) {
    this.#timing = timing;
  }

  /** What the holder may act on; undefined unless this process holds an unexpired lease. */
  get authority(): Grant | undefined {
    const held = this.#held;
    if (held === undefined) {
      return undefined;
    }
    const { clock, ttlMs, marginMs } = this.#timing;
    const elapsedMs = clock.nowMs() - held.sentAtMs;
    const unixElapsedMs = clock.unixMs() - held.sentUnixMs;
    const clocksAgree = Math.abs(unixElapsedMs - elapsedMs) < CLOCK_AGREEMENT_MS;
    return clocksAgree && elapsedMs < ttlMs - marginMs ? held.grant : undefined;
  }

  /**
   * Whether this process holds the lease according to the last state that it read. Stays true when the
   * authority has expired because the answers to renewals were lost.
   */
  get held(): boolean {
    return this.#held !== undefined;
  }

  /** When the last write that took effect was sent, on the monotonic clock; -Infinity while this process is no holder. */
  get grantedAtMs(): number {
    return this.#held?.sentAtMs ?? -Infinity;
  }

  /** When the lease can be taken over if it stays as observed, on the monotonic clock; undefined if never observed. */
  get takeableAtMs(): number | undefined {
    return this.#observed && this.#observed.sinceMs + this.#observed.waitMs;
  }

  /** Renews the lease if this process holds it; otherwise acquires it if it is free, released or expired. */
  async acquireOrRenew(): Promise<void> {
    const sent = this.#readClocks();
    if (this.#held !== undefined) {
      const renewed = await this.renew(this.#held.grant);
      if (renewed.isErr) {
        return;
      }
      this.#held = renewed.value && { grant: renewed.value, ...sent };
      if (this.#held !== undefined) {
        return;
      }
    }
    const read = await this.read();
    if (read.isErr) {
      return;
    }
    const state = read.value;
    if (state === undefined || state.isOwn || this.#mayTake(state)) {
      const acquiring = this.#readClocks();
      const acquired = await this.acquire(state);
      if (acquired.isOk && acquired.value !== undefined) {
        this.#held = { grant: acquired.value, ...acquiring };
      }
    }
  }

  /** Releases the lease, so that another node can acquire it without waiting for its expiry. */
  async release(): Promise<void> {
    const held = this.#held;
    this.#held = undefined;
    if (held !== undefined) {
      await this.writeRelease(held.grant);
    }
  }

  /** Takes note that the lease had this version, as another process read or wrote it. */
  observe(version: number): void {
    if (this.#observed === undefined || version > this.#observed.version) {
      const { clock, ttlMs } = this.#timing;
      this.#observed = { version, sinceMs: clock.nowMs(), waitMs: ttlMs };
    }
  }

  /** Reads the state of the lease; undefined when nobody has ever held it. */
  protected abstract read(): Promise<Result<LeaseState | undefined, Failure>>;

  /** Writes this process as the holder, with a new epoch; undefined when the state is no longer as it was read. */
  protected abstract acquire(
    state: LeaseState | undefined,
  ): Promise<Result<Grant | undefined, Failure>>;

  /** Writes a renewal; undefined when another process holds the lease. */
  protected abstract renew(grant: Grant): Promise<Result<Grant | undefined, Failure>>;

  protected abstract writeRelease(grant: Grant): Promise<void>;

  #readClocks(): { readonly sentAtMs: number; readonly sentUnixMs: number } {
    const { clock } = this.#timing;
    return { sentAtMs: clock.nowMs(), sentUnixMs: clock.unixMs() };
  }

  /** Whether this process has observed the state for the whole time to live, or for the delay after a release. */
  #mayTake({ version, isReleased, releaseDelayMs }: LeaseState): boolean {
    const { clock, ttlMs } = this.#timing;
    const nowMs = clock.nowMs();
    const sinceMs = this.#observed?.version === version ? this.#observed.sinceMs : nowMs;
    const waitMs = isReleased ? Math.min(releaseDelayMs, ttlMs) : ttlMs;
    this.#observed = { version, sinceMs, waitMs };
    return isReleased ? nowMs - sinceMs >= waitMs : nowMs - sinceMs > waitMs;
  }
}

export default RenewableLease;
