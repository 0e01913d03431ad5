/**
 * Lists the instances of a service that a request may be dispatched to: those that it has not tried yet, without
 * the ejected ones, and those that change their stage only if there are no others. If all that can answer are ejected, they are listed too, since an ejection is only an estimate;
 * prefill engines do not answer.
 */
import type InstanceRegistry from '../instances/InstanceRegistry.js';
import type InstanceState from '../instances/InstanceState.js';

export default function listCandidates(
  registry: InstanceRegistry,
  service: string,
  triedIds: ReadonlySet<string>,
  nowMs: number,
): readonly InstanceState[] {
  const available = registry
    .listAvailable(service)
    .filter(({ instance }) => !triedIds.has(instance.id));
  const settled = available.filter((state) => !state.isChanging(nowMs));
  const untried = settled.length === 0 ? available : settled;
  const active = untried.filter(({ health }) => !health.isAvoided(nowMs));
  const answering = untried.filter(({ instance }) => instance.stage !== 'prefill');
  if (active.length === 0 || active.some((state) => answering.includes(state))) {
    return active.length === 0 ? untried : active;
  }
  return [...answering, ...active];
}
