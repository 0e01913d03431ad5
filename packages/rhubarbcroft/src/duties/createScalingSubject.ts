/** The subject of the orders for the replicas of a service in a failure domain. */
import type ReplicaOrder from './ReplicaOrder.js';

export default function createScalingSubject({
  service,
  domain,
}: Pick<ReplicaOrder, 'service' | 'domain'>): string {
  return `scaling ${service} ${domain}`;
}
