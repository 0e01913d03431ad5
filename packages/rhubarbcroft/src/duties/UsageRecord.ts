/** The progress of the usage reports, as the holder of the duties keeps it in the store. */
import type UsageReport from './UsageReport.js';

interface UsageRecord {
  /** The first window whose counts are not fixed; undefined before any traffic. */
  readonly nextWindow: number | undefined;
  /** Windows whose counts are fixed and whose reports are not known to be accepted, oldest first. */
  readonly pending: readonly UsageReport[];
}

export default UsageRecord;
