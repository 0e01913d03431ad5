/** What the holder of the duties may act on. */
interface DutyGrant {
  /** The fencing token of each subject. */
  readonly epochs: Readonly<Record<string, number>>;
}

export default DutyGrant;
