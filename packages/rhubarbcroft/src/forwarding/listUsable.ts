/**
 * The instances of a service that a request may be sent to: those at which it has not failed yet, without
 * those that rest; if all rest, all of them, since a rest is only a guess.
 */
import type InstanceRegistry from '../instances/InstanceRegistry.js';
import type InstanceState from '../instances/InstanceState.js';

export default function listUsable(
  registry: InstanceRegistry,
  service: string,
  failedIds: ReadonlySet<string>,
  nowMs: number,
): readonly InstanceState[] {
  const untried = registry
    .listAvailable(service)
    .filter(({ instance }) => !failedIds.has(instance.id));
  const awake = untried.filter(({ health }) => !health.isResting(nowMs));
  return awake.length > 0 ? awake : untried;
}
