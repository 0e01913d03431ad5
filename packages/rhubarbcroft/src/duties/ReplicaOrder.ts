/** An order for the number of replicas that a service is to have in a failure domain. */
interface ReplicaOrder {
  readonly service: string;
  readonly domain: string;
  readonly count: number;
  /** Whether the count is of spot replicas, which are counted apart from the others and may be reclaimed. */
  readonly isSpot: boolean;
}

export default ReplicaOrder;
