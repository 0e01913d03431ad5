/**
 * Lists the instances of a service that a request may be dispatched to: those that it has not tried yet, without
 * the ejected ones. If all of them are ejected, all are listed, since an ejection is only an estimate.
 */
import type InstanceRegistry from '../instances/InstanceRegistry.js';
import type InstanceState from '../instances/InstanceState.js';

export default function listCandidates(
  registry: InstanceRegistry,
  service: string,
  triedIds: ReadonlySet<string>,
  nowMs: number,
): readonly InstanceState[] {
  const untried = registry
    .listAvailable(service)
    .filter(({ instance }) => !triedIds.has(instance.id));
  const active = untried.filter(({ health }) => !health.isAvoided(nowMs));
  return active.length > 0 ? active : untried;
}
