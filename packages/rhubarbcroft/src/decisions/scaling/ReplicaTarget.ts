/** How many replicas of one kind a failure domain is to have now. */
interface ReplicaTarget {
  readonly domain: string;
  readonly isSpot: boolean;
  readonly count: number;
}

export default ReplicaTarget;
