/** Derives the faults of a run from its seed: concurrent series, each with its own times and targets. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import ConfigurationChange from './faults/ConfigurationChange.js';
import type Fault from './faults/Fault.js';
import NodeFault from './faults/NodeFault.js';
import ReplicaLinkFault from './faults/ReplicaLinkFault.js';
import ReplicaResponseFault from './faults/ReplicaResponseFault.js';
import ReplicaRestartFault from './faults/ReplicaRestartFault.js';
import StoreFault from './faults/StoreFault.js';
import StoreLinkFault from './faults/StoreLinkFault.js';

interface PlannedFault {
  readonly fault: Fault;
  readonly atMs: number;
  readonly forMs: number;
}

interface FaultPlanOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly nodeCount: number;
  readonly replicaCount: number;
}

/** Number of fault series that run concurrently. */
const SERIES_COUNT = 3;
const MIN_FAULT_MS = 500;
const MAX_FAULT_MS = 4_500;
const MAX_PAUSE_MS = 1_500;

export default function planFaults(options: FaultPlanOptions): readonly PlannedFault[] {
  const { seed, durationMs, nodeCount, replicaCount } = options;
  const random = xoroshiro128plus(seed);
  const draw = (count: number): number => uniformInt(random, 0, count - 1);
  const pick = <Item>(items: readonly Item[]): Item => items[draw(items.length)];
  const create = (): Fault => {
    const node = draw(nodeCount);
    const replica = draw(replicaCount);
    return pick([
      () => new NodeFault(pick(['killed', 'paused', 'stopped', 'reloaded'] as const), node),
      () => new NodeFault('stopped', node),
      () => new StoreFault(pick(['busy', 'reset', 'silent', 'lost'] as const)),
      () => new StoreLinkFault(pick(['cut', 'slow', 'silent'] as const), node),
      () => new ReplicaLinkFault(pick(['cut', 'slow', 'silent'] as const), replica),
      () => new ReplicaResponseFault(pick(['break', 'decline', 'loseAnswer'] as const), replica),
      () => new ReplicaRestartFault(pick(['drains', 'crashes'] as const), replica),
      () => new ConfigurationChange(),
    ])();
  };
  return Array.from({ length: SERIES_COUNT }, () => {
    const planned: PlannedFault[] = [];
    let atMs = draw(MAX_PAUSE_MS);
    while (atMs < durationMs) {
      const forMs = MIN_FAULT_MS + draw(MAX_FAULT_MS - MIN_FAULT_MS);
      planned.push({ fault: create(), atMs, forMs });
      atMs += forMs + draw(MAX_PAUSE_MS);
    }
    return planned;
  }).flat();
}
