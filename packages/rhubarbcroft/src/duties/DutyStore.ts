/** The rows of the duties in the platform's store. */
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type DutyLeaseRow from './DutyLeaseRow.js';
import type DutyRecords from './DutyRecords.js';
import type UsageRecord from './UsageRecord.js';

interface DutyWrite {
  /** The version that the lease row must have; 0 when there must be none. */
  readonly expectedVersion: number;
  readonly lease: DutyLeaseRow;
  /** Undefined leaves the usage row as it is. */
  readonly usage: UsageRecord | undefined;
}

abstract class DutyStore {
  abstract read(): Promise<Result<DutyRecords, Failure>>;

  /**
   * Writes all rows or none, and returns the new version of the lease row. Fails with `PLATFORM_CONFLICT` when the row
   * has another version, and with `PLATFORM_ANSWER_LOST` when the write may have taken effect or may still do so.
   */
  abstract write(change: DutyWrite): Promise<Result<number, Failure>>;
}

export default DutyStore;
