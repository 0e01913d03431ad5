/** A node's sole right to order one run of an engine to another stage. */
interface StageRight {
  /** Who orders: one process of one node. */
  readonly holder: string;
  /** Greater than that of every right given before. */
  readonly fence: number;
}

export default StageRight;
