/** The current pace of each of a service's instances, by instance id. */
import resolvePaces from '../decisions/pace/resolvePaces.js';
import type InstanceState from '../instances/InstanceState.js';

export default function readPaces(
  states: readonly InstanceState[],
  nowMs: number,
): ReadonlyMap<string, number> {
  const paces = resolvePaces(
    states.map(({ pace }) => pace),
    nowMs,
  );
  return new Map(states.map(({ instance }, index) => [instance.id, paces[index]]));
}
