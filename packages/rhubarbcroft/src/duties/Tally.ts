/** What one node has counted, as it sends it to the holder of the duties about once a second. */
import type ServiceDemand from './ServiceDemand.js';
import type UsageReport from './UsageReport.js';

interface Tally {
  /** The node's address for peers. */
  readonly node: string;
  readonly domain: string;
  /** Identifies the process, whose counts begin at its start. */
  readonly process: string;
  /** The node's time of day. */
  readonly unixMs: number;
  /** The counts of this window and of all before it are final. */
  readonly closedWindow: number;
  /** Set in the last tally of a process that shuts down. */
  readonly isLast: boolean;
  /** The windows whose counts have changed, or may not have been received. */
  readonly windows: readonly UsageReport[];
  readonly demand: readonly ServiceDemand[];
}

export default Tally;
