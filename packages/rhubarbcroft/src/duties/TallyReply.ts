/** What the receiver of a tally knows of the duties. */
interface TallyReply {
  /** The address of the holder; undefined when the receiver knows of none. */
  readonly holder: string | undefined;
  /** The newest version of the lease that the receiver knows; 0 when it knows of none. */
  readonly leaseVersion: number;
  /** The true time, as the receiver estimates it. */
  readonly unixMs: number;
  /** Whether the receiver shuts down, so that another node should get the tallies. */
  readonly isLeaving: boolean;
  /** The counts of this window and of all before it are fixed. */
  readonly fixedWindow: number;
}

export default TallyReply;
