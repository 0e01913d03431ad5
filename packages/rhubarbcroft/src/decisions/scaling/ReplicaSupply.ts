/** The replicas of one kind in a failure domain: what is there and what was ordered. */
interface ReplicaSupply {
  readonly domain: string;
  readonly isSpot: boolean;
  /** Replicas that take requests. */
  readonly ready: number;
  /** The last accepted order; undefined when this node has ordered none. */
  readonly ordered: number | undefined;
  /** Whether the platform lately had none to give, or has just reclaimed them. */
  readonly isBlocked: boolean;
}

export default ReplicaSupply;
