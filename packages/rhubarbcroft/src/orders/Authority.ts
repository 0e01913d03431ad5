/** The right to send orders to the engines of a group; valid until the lease expires. */
interface Authority {
  /** The epoch of the lease, which serves as the fencing token of the orders. */
  readonly epoch: number;
  /** The version of the epoch row; every write of an intent is conditional on it. */
  readonly epochVersion: number;
}

export default Authority;
