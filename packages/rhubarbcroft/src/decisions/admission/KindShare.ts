/** The configured share of one kind: its weight among the kinds of its rank, and its floor. */
interface KindShare {
  readonly weight: number;
  /** The guaranteed fraction of the capacity, 0 to 1. */
  readonly floor: number;
}

export default KindShare;
