/**
 * The lease on the engines of one failure domain, in the platform's table.
 *
 * The holder measures the time to live from before it sent the renewal, on its own monotonic clock, and
 * gives up its authority a safety margin before the lease expires. Another process takes the lease over
 * only after it has observed the row unchanged for the whole time to live, so clocks of two VMs are never
 * compared. A takeover increments the epoch in a separate row that nothing else writes, so that writes of
 * orders can be made conditional on it.
 */
import { randomUUID } from 'node:crypto';
import type Row from '../store/Row.js';
import type TableStore from '../store/TableStore.js';
import type Clock from '../supervision/Clock.js';
import type Authority from './Authority.js';
import type LeaseRow from './LeaseRow.js';

interface LeaseOptions {
  readonly table: TableStore;
  readonly clock: Clock;
  readonly group: string;
  /** This process, as `nodeId/incarnation`. */
  readonly holder: string;
  readonly ttlMs: number;
  /** How long before the expiry of the lease the holder stops using it. */
  readonly marginMs: number;
}

interface HeldLease extends Authority {
  readonly leaseVersion: number;
  readonly validUntilMs: number;
}

interface ObservedRow {
  readonly version: number;
  readonly sinceMs: number;
}

const LEASES = 'leases';
const EPOCHS = 'epochs';

export default class Lease {
  readonly #options: LeaseOptions;

  #held: HeldLease | undefined;

  #observed: ObservedRow | undefined;

  constructor(options: LeaseOptions) {
    this.#options = options;
  }

  /** The current authority of this process; undefined unless it holds an unexpired lease. */
  get authority(): Authority | undefined {
    const held = this.#held;
    return held !== undefined && this.#options.clock.nowMs() < held.validUntilMs ? held : undefined;
  }

  /**
   * Whether this process holds the lease according to the last row that it read. Stays true when the
   * authority has expired because the answers to renewals were lost.
   */
  get held(): boolean {
    return this.#held !== undefined;
  }

  /** Renews the lease if this process holds it; otherwise acquires it if it is free, released or expired. */
  async acquireOrRenew(): Promise<void> {
    const { table, clock, group, holder } = this.#options;
    const sentAtMs = clock.nowMs();
    const read = await table.read(LEASES, group);
    if (read.isErr) {
      return;
    }
    const row = read.value;
    const value = row?.value as LeaseRow | undefined;
    if (this.#held !== undefined && value?.holder === holder && value.epoch === this.#held.epoch) {
      await this.#renew(this.#held, row as Row, sentAtMs);
      return;
    }
    this.#held = undefined;
    if (row === undefined || value?.released === true || this.#hasExpired(row)) {
      await this.#acquire(row, sentAtMs);
    }
  }

  /** Releases the lease, so that another node can acquire it without waiting for its expiry. */
  async release(): Promise<void> {
    const held = this.#held;
    this.#held = undefined;
    if (held !== undefined) {
      await this.#writeLeaseRow(held.leaseVersion, {
        holder: this.#options.holder,
        epoch: held.epoch,
        released: true,
      });
    }
  }

  async #renew(held: HeldLease, row: Row, sentAtMs: number): Promise<void> {
    const { holder } = this.#options;
    const renewed = await this.#writeLeaseRow(row.version, {
      holder,
      epoch: held.epoch,
      released: false,
    });
    if (renewed) {
      this.#held = {
        ...held,
        leaseVersion: row.version + 1,
        validUntilMs: this.#computeValidUntilMs(sentAtMs),
      };
    }
  }

  async #acquire(row: Row | undefined, sentAtMs: number): Promise<void> {
    const { table, group, holder } = this.#options;
    const epochRow = await table.read(EPOCHS, group);
    if (epochRow.isErr) {
      return;
    }
    const epochVersion = epochRow.value?.version ?? 0;
    const epoch =
      ((epochRow.value?.value as { readonly epoch: number } | undefined)?.epoch ?? 0) + 1;
    const acquired = await table.commit({
      writeId: randomUUID(),
      writes: [
        {
          table: LEASES,
          key: group,
          expectedVersion: row?.version ?? 0,
          value: { holder, epoch, released: false },
        },
        { table: EPOCHS, key: group, expectedVersion: epochVersion, value: { epoch, holder } },
      ],
    });
    if (acquired.isOk && acquired.value.committed) {
      this.#held = {
        epoch,
        epochVersion: epochVersion + 1,
        leaseVersion: (row?.version ?? 0) + 1,
        validUntilMs: this.#computeValidUntilMs(sentAtMs),
      };
    }
  }

  async #writeLeaseRow(expectedVersion: number, value: LeaseRow): Promise<boolean> {
    const { table, group } = this.#options;
    const outcome = await table.commit({
      writeId: randomUUID(),
      writes: [{ table: LEASES, key: group, expectedVersion, value }],
    });
    return outcome.isOk && outcome.value.committed;
  }

  /** Whether this process has observed the row unchanged for the whole time to live. */
  #hasExpired(row: Row): boolean {
    const nowMs = this.#options.clock.nowMs();
    if (this.#observed?.version !== row.version) {
      this.#observed = { version: row.version, sinceMs: nowMs };
      return false;
    }
    return nowMs - this.#observed.sinceMs > this.#options.ttlMs;
  }

  #computeValidUntilMs(sentAtMs: number): number {
    return sentAtMs + this.#options.ttlMs - this.#options.marginMs;
  }
}
