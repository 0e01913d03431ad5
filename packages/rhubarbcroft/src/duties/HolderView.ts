/** What this node knows of the holder of the duties, from the store or from peers. */
import type Clock from '../supervision/Clock.js';
import type DutyLease from './DutyLease.js';
import type TallyReply from './TallyReply.js';

interface Holding {
  /** The holder's address; undefined when it released the lease. */
  readonly holder: string | undefined;
  readonly version: number;
  readonly sinceMs: number;
}

/** Two periods of the tallies: a peer may still name a holder that this node has found not to answer. */
const LOST_MS = 2_500;

export default class HolderView {
  readonly #lease: DutyLease;

  readonly #clock: Clock;

  readonly #address: string;

  #holding: Holding = { holder: undefined, version: 0, sinceMs: -Infinity };

  #lostUntilMs = -Infinity;

  constructor(lease: DutyLease, clock: Clock, address: string) {
    this.#lease = lease;
    this.#clock = clock;
    this.#address = address;
  }

  /** The holder's address; this node's own while it holds the lease, undefined when none is known to answer. */
  get holder(): string | undefined {
    this.#readLease();
    if (this.#lease.held) {
      return this.#address;
    }
    const { holder } = this.#holding;
    const isLost = this.#clock.nowMs() < this.#lostUntilMs;
    return isLost || holder === this.#address ? undefined : holder;
  }

  get version(): number {
    this.#readLease();
    return this.#holding.version;
  }

  /** When this node learned that the newest holder released the lease; undefined when it did not. */
  get releasedAtMs(): number | undefined {
    this.#readLease();
    const { holder, version, sinceMs } = this.#holding;
    return version > 0 && holder === undefined ? sinceMs : undefined;
  }

  /** Takes over what a peer answered. */
  learn({ holder, leaseVersion }: Pick<TallyReply, 'holder' | 'leaseVersion'>): void {
    this.#update(holder, leaseVersion);
    this.#lease.observe(leaseVersion);
  }

  /** Takes note that a holder does not answer. */
  recordLost(address: string): void {
    if (this.#holding.holder === address) {
      this.#lostUntilMs = this.#clock.nowMs() + LOST_MS;
    }
  }

  #readLease(): void {
    const { version, lease } = this.#lease.records;
    this.#update(lease?.isReleased === true ? undefined : lease?.address, version);
  }

  #update(holder: string | undefined, version: number): void {
    if (version > this.#holding.version) {
      if (holder !== this.#holding.holder) {
        this.#lostUntilMs = -Infinity;
      }
      this.#holding = { holder, version, sinceMs: this.#clock.nowMs() };
    }
  }
}
