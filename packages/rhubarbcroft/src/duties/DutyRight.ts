/** The right of one node to act for a duty's subject. */
interface DutyRight {
  /** The name of the node, as the platform knows it. */
  readonly holder: string;
  /** The fencing token: greater than that of every holder of the subject before. */
  readonly fence: number;
}

export default DutyRight;
