/** Counts the replicas that take requests and were not given back by an order. */
import type ReplicaSupply from './ReplicaSupply.js';

export default function countLasting({ ready, ordered }: ReplicaSupply): number {
  return Math.min(ready, ordered ?? ready);
}
