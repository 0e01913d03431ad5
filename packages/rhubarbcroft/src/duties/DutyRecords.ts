/** What the store holds about the duties, as of one moment. */
import type DutyLeaseRow from './DutyLeaseRow.js';
import type UsageRecord from './UsageRecord.js';

interface DutyRecords {
  /** The version of the lease row; 0 when there is none. */
  readonly version: number;
  readonly lease: DutyLeaseRow | undefined;
  readonly usage: UsageRecord;
}

export default DutyRecords;
