/** The lease of the duties in the store: one row, since one node holds the leases of all subjects. */
interface DutyLeaseRow {
  /** The holder's address for peers. */
  readonly address: string;
  /** The process that wrote the row; a restarted process on the same machine is another one. */
  readonly process: string;
  /** The number of the write among those of the process; with `process` it identifies the write. */
  readonly write: number;
  /** The fencing token of each subject. All of them rise with each change of the holder. */
  readonly epochs: Readonly<Record<string, number>>;
  readonly isReleased: boolean;
  /** How long a successor has to wait after a release until it acts. */
  readonly releaseDelayMs: number;
}

export default DutyLeaseRow;
