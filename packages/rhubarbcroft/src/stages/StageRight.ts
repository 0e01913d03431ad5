/** The exclusive right of a node to change the stage of one run of an engine. */
interface StageRight {
  /** Identifies the process, not only the node, that has the right. */
  readonly holder: string;
  /** The fencing token: greater than that of every right granted before. */
  readonly fence: number;
}

export default StageRight;
