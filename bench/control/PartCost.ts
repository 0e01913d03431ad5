/** The measured cost of one part of the daemon at one size. */
interface PartCost {
  readonly part: string;
  /** Number of items that the part handles, such as endpoints, accounts or models. */
  readonly size: number;
  readonly heapBytes?: number;
  readonly usPerStep?: number;
  readonly frameBytes?: number;
}

export default PartCost;
