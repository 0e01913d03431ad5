/**
 * The lease on the engines of one failure domain, in the platform's table.
 *
 * A holder counts the lease from before it sent the renewal, on its own monotonic clock, and stops a
 * margin before the end. A candidate takes over only after it has itself seen the row unchanged for the
 * whole time to live; clocks of two VMs are never compared. A takeover raises the epoch in a row of its
 * own that nothing else changes, so that orders can be made conditional on it.
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
  /** This process: node id and incarnation. */
  readonly holder: string;
  readonly ttlMs: number;
  readonly marginMs: number;
}

interface Held extends Authority {
  readonly leaseVersion: number;
  readonly validUntilMs: number;
}

interface Observed {
  readonly version: number;
  readonly sinceMs: number;
}

const LEASES = 'leases';
const EPOCHS = 'epochs';

export default class Lease {
  readonly #options: LeaseOptions;

  #held: Held | undefined;

  #observed: Observed | undefined;

  constructor(options: LeaseOptions) {
    this.#options = options;
  }

  /** The authority that this process has now, or undefined. */
  get authority(): Authority | undefined {
    const held = this.#held;
    return held !== undefined && this.#options.clock.nowMs() < held.validUntilMs ? held : undefined;
  }

  /**
   * Whether this process holds the lease as far as it knows, also while its authority has run out because
   * the answers to its renewals were lost.
   */
  get held(): boolean {
    return this.#held !== undefined;
  }

  /** Renews a held lease, or takes one that is free. */
  async attempt(): Promise<void> {
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
    if (row === undefined || value?.released === true || this.#hasLapsed(row)) {
      await this.#take(row, sentAtMs);
    }
  }

  /** Gives the lease up at once, so that another node need not wait for its end. */
  async release(): Promise<void> {
    const held = this.#held;
    this.#held = undefined;
    if (held !== undefined) {
      await this.#write(held.leaseVersion, {
        holder: this.#options.holder,
        epoch: held.epoch,
        released: true,
      });
    }
  }

  async #renew(held: Held, row: Row, sentAtMs: number): Promise<void> {
    const { holder } = this.#options;
    const renewed = await this.#write(row.version, { holder, epoch: held.epoch, released: false });
    if (renewed) {
      this.#held = {
        ...held,
        leaseVersion: row.version + 1,
        validUntilMs: this.#computeEnd(sentAtMs),
      };
    }
  }

  async #take(row: Row | undefined, sentAtMs: number): Promise<void> {
    const { table, group, holder } = this.#options;
    const epochRow = await table.read(EPOCHS, group);
    if (epochRow.isErr) {
      return;
    }
    const epochVersion = epochRow.value?.version ?? 0;
    const epoch =
      ((epochRow.value?.value as { readonly epoch: number } | undefined)?.epoch ?? 0) + 1;
    const taken = await table.commit({
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
    if (taken.isOk && taken.value.committed) {
      this.#held = {
        epoch,
        epochVersion: epochVersion + 1,
        leaseVersion: (row?.version ?? 0) + 1,
        validUntilMs: this.#computeEnd(sentAtMs),
      };
    }
  }

  async #write(expectedVersion: number, value: LeaseRow): Promise<boolean> {
    const { table, group } = this.#options;
    const outcome = await table.commit({
      writeId: randomUUID(),
      writes: [{ table: LEASES, key: group, expectedVersion, value }],
    });
    return outcome.isOk && outcome.value.committed;
  }

  /** Whether the row has not changed for a whole time to live, by this process's own watch. */
  #hasLapsed(row: Row): boolean {
    const nowMs = this.#options.clock.nowMs();
    if (this.#observed?.version !== row.version) {
      this.#observed = { version: row.version, sinceMs: nowMs };
      return false;
    }
    return nowMs - this.#observed.sinceMs > this.#options.ttlMs;
  }

  #computeEnd(sentAtMs: number): number {
    return sentAtMs + this.#options.ttlMs - this.#options.marginMs;
  }
}
