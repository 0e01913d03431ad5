/**
 * The lease on the engines of one failure domain, in the platform's table. A takeover increments the epoch in a
 * separate row that nothing else writes, so that writes of orders can be made conditional on it.
 */
import { randomUUID } from 'node:crypto';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type TableStore from '../store/TableStore.js';
import type Clock from '../supervision/Clock.js';
import type Authority from './Authority.js';
import type LeaseRow from './LeaseRow.js';
import type LeaseState from './LeaseState.js';
import RenewableLease from './RenewableLease.js';

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

interface LeaseGrant extends Authority {
  readonly leaseVersion: number;
}

const LEASES = 'leases';
const EPOCHS = 'epochs';

export default class Lease extends RenewableLease<LeaseGrant> {
  readonly #options: LeaseOptions;

  constructor(options: LeaseOptions) {
    super(options);
    this.#options = options;
  }

  protected override async read(): Promise<Result<LeaseState | undefined, Failure>> {
    const { table, group } = this.#options;
    const row = await table.read(LEASES, group);
    return row.map((value) => {
      const isReleased = (value?.value as LeaseRow | undefined)?.released === true;
      return value && { version: value.version, isOwn: false, isReleased, releaseDelayMs: 0 };
    });
  }

  protected override async renew(
    grant: LeaseGrant,
  ): Promise<Result<LeaseGrant | undefined, Failure>> {
    const { table, group, holder } = this.#options;
    const row = await table.read(LEASES, group);
    if (row.isErr) {
      return err(row.error);
    }
    const { version = 0, value } = row.value ?? {};
    const { holder: writer, epoch } = (value ?? {}) as Partial<LeaseRow>;
    if (writer !== holder || epoch !== grant.epoch) {
      return ok(undefined);
    }
    const renewal = { holder, epoch, released: false };
    const renewed = await this.#writeLeaseRow(version, renewal);
    return renewed.andThen((committed) =>
      committed
        ? ok({ ...grant, leaseVersion: version + 1 })
        : err(createFailure('PLATFORM_CONFLICT', 'the lease was written meanwhile')),
    );
  }

  protected override async acquire(
    state: LeaseState | undefined,
  ): Promise<Result<LeaseGrant | undefined, Failure>> {
    const { table, group, holder } = this.#options;
    const epochRow = await table.read(EPOCHS, group);
    if (epochRow.isErr) {
      return err(epochRow.error);
    }
    const leaseVersion = state?.version ?? 0;
    const epochVersion = epochRow.value?.version ?? 0;
    const epoch =
      ((epochRow.value?.value as { readonly epoch: number } | undefined)?.epoch ?? 0) + 1;
    const acquired = await table.commit({
      writeId: randomUUID(),
      writes: [
        {
          table: LEASES,
          key: group,
          expectedVersion: leaseVersion,
          value: { holder, epoch, released: false },
        },
        { table: EPOCHS, key: group, expectedVersion: epochVersion, value: { epoch, holder } },
      ],
    });
    return acquired.map(({ committed }) =>
      committed
        ? { epoch, epochVersion: epochVersion + 1, leaseVersion: leaseVersion + 1 }
        : undefined,
    );
  }

  protected override async writeRelease({ epoch, leaseVersion }: LeaseGrant): Promise<void> {
    const { holder } = this.#options;
    await this.#writeLeaseRow(leaseVersion, { holder, epoch, released: true });
  }

  async #writeLeaseRow(
    expectedVersion: number,
    value: LeaseRow,
  ): Promise<Result<boolean, Failure>> {
    const { table, group } = this.#options;
    const outcome = await table.commit({
      writeId: randomUUID(),
      writes: [{ table: LEASES, key: group, expectedVersion, value }],
    });
    return outcome.map(({ committed }) => committed);
  }
}
