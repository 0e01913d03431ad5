/**
 * The leases of all subjects of the duties, which one node holds together in one row. The counts of usage windows are
 * fixed in the same transaction as a renewal, so that only the holder fixes them.
 *
 * A renewal is a conditional write without a reading before it. When the answer is lost or the condition fails, the row
 * is read back: it names the write that made it.
 */
import { randomUUID } from 'node:crypto';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import RenewableLease from '../orders/RenewableLease.js';
import type LeaseState from '../orders/LeaseState.js';
import type Clock from '../supervision/Clock.js';
import type DutyGrant from './DutyGrant.js';
import type DutyLeaseRow from './DutyLeaseRow.js';
import type DutyRecords from './DutyRecords.js';
import type DutyStore from './DutyStore.js';
import type UsageRecord from './UsageRecord.js';

interface DutyLeaseOptions {
  readonly store: DutyStore;
  readonly clock: Clock;
  /** This node's address for peers. */
  readonly address: string;
  readonly ttlMs: number;
  readonly marginMs: number;
  /** How long after now a successor may act, when this node acts no more. */
  readonly computeReleaseDelayMs: () => number;
}

const NO_RECORDS: DutyRecords = {
  version: 0,
  lease: undefined,
  usage: { nextWindow: undefined, pending: [] },
};

export default class DutyLease extends RenewableLease<DutyGrant> {
  readonly #options: DutyLeaseOptions;

  readonly #process = randomUUID();

  readonly #subjects = new Set<string>();

  #writes = 0;

  #records = NO_RECORDS;

  #nextUsage: UsageRecord | undefined;

  constructor(options: DutyLeaseOptions) {
    super(options);
    this.#options = options;
  }

  /** The rows as this node last read or wrote them. */
  get records(): DutyRecords {
    return this.#records;
  }

  /** Whether a subject was added that the lease in the store does not include. */
  get lacksSubjects(): boolean {
    const epochs = this.#records.lease?.epochs ?? {};
    return [...this.#subjects].some((subject) => epochs[subject] === undefined);
  }

  /** Includes a subject in the next renewal. */
  addSubject(subject: string): void {
    this.#subjects.add(subject);
  }

  /** Renews the lease and writes the progress of the usage reports with it. */
  async fixUsage(usage: UsageRecord): Promise<void> {
    this.#nextUsage = usage;
    await this.acquireOrRenew();
    this.#nextUsage = undefined;
  }

  protected override async read(): Promise<Result<LeaseState | undefined, Failure>> {
    const records = await this.#readRecords();
    return records.map(({ version, lease }) => {
      const isOwn = lease?.process === this.#process;
      return lease && { ...lease, version, isOwn };
    });
  }

  protected override async acquire(): Promise<Result<DutyGrant | undefined, Failure>> {
    const previous = Object.entries(this.#records.lease?.epochs ?? {});
    const epochs = Object.fromEntries(previous.map(([subject, epoch]) => [subject, epoch + 1]));
    const written = await this.#write(epochs, undefined);
    return written.isErr && written.error.code === 'PLATFORM_CONFLICT' ? ok(undefined) : written;
  }

  protected override async renew(): Promise<Result<DutyGrant | undefined, Failure>> {
    const renewed = await this.#write(this.#records.lease?.epochs ?? {}, this.#nextUsage);
    if (renewed.isOk || renewed.error.code !== 'PLATFORM_CONFLICT') {
      return renewed;
    }
    const { lease } = this.#records;
    if (lease?.process !== this.#process) {
      return ok(undefined);
    }
    // An earlier renewal took effect after its answer had been lost, so what it wrote goes before this one.
    return this.#write(lease.epochs, undefined);
  }

  protected override async writeRelease({ epochs }: DutyGrant): Promise<void> {
    const lease = {
      ...this.#createRow(epochs),
      isReleased: true,
      releaseDelayMs: this.#options.computeReleaseDelayMs(),
    };
    const expectedVersion = this.#records.version;
    const written = await this.#options.store.write({ expectedVersion, lease, usage: undefined });
    this.#records = { ...this.#records, lease, version: written.unwrapOr(expectedVersion) };
  }

  #createRow(epochs: DutyGrant['epochs']): DutyLeaseRow {
    this.#writes += 1;
    const first = Object.fromEntries([...this.#subjects].map((subject) => [subject, 1]));
    return {
      address: this.#options.address,
      process: this.#process,
      write: this.#writes,
      epochs: { ...first, ...epochs },
      isReleased: false,
      releaseDelayMs: 0,
    };
  }

  /** Writes this process as the holder. Afterwards `records` is what the store holds, unless the outcome is unknown. */
  async #write(
    epochs: DutyGrant['epochs'],
    usage: UsageRecord | undefined,
  ): Promise<Result<DutyGrant, Failure>> {
    const expectedVersion = this.#records.version;
    const lease = this.#createRow(epochs);
    const grant = { epochs: lease.epochs };
    const written = await this.#options.store.write({ expectedVersion, lease, usage });
    if (written.isOk) {
      this.#records = { version: written.value, lease, usage: usage ?? this.#records.usage };
      return ok(grant);
    }
    if (written.error.code === 'PLATFORM_UNAVAILABLE') {
      return err(written.error);
    }
    const read = await this.#readRecords();
    if (read.isErr) {
      return err(written.error);
    }
    const current = read.value.lease;
    const tookEffect = current?.process === lease.process && current.write === lease.write;
    return tookEffect ? ok(grant) : err(written.error);
  }

  async #readRecords(): Promise<Result<DutyRecords, Failure>> {
    const records = await this.#options.store.read();
    this.#records = records.unwrapOr(this.#records);
    return records;
  }
}
