/** The position of a node among the live nodes of its failure domain, ordered by node id. */
interface DomainPosition {
  /** Counted from 0. */
  readonly index: number;
  /** The number of live nodes. */
  readonly count: number;
}

export default DomainPosition;
