/**
 * Derives the faults of a run from its seed: concurrent series, each with its own times and targets. Each class of
 * faults draws from a sequence of its own, so that its faults do not depend on which other classes are selected.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import FAULT_CLASSES from './FAULT_CLASSES.js';
import type FaultClass from './FaultClass.js';
import ConfigurationChange from './faults/ConfigurationChange.js';
import DeadlyPartFault from './faults/DeadlyPartFault.js';
import type Fault from './faults/Fault.js';
import NodeFault from './faults/NodeFault.js';
import OddEntryFault from './faults/OddEntryFault.js';
import ReplicaLinkFault from './faults/ReplicaLinkFault.js';
import ReplicaPauseFault from './faults/ReplicaPauseFault.js';
import ReplicaResponseFault from './faults/ReplicaResponseFault.js';
import ReplicaRestartFault from './faults/ReplicaRestartFault.js';
import StoreFault from './faults/StoreFault.js';
import StoreLinkFault from './faults/StoreLinkFault.js';
import TimeoutChange from './faults/TimeoutChange.js';

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
  readonly classes: readonly FaultClass[];
}

/** Number of series of each class that run concurrently. */
const SERIES_COUNTS: Readonly<Record<FaultClass, number>> = {
  general: 3,
  pauses: 1,
  answers: 2,
  entries: 1,
  timeouts: 1,
  prompts: 1,
};
/** The widest range of the duration of a fault. */
const MAX_DRAWN_MS = 4_000;
const MAX_PAUSE_MS = 1_500;
const MIN_CHANGE_PERIOD_MS = 100;
const MAX_CHANGE_PERIOD_MS = 1_100;

function planClass(faultClass: FaultClass, options: FaultPlanOptions): readonly PlannedFault[] {
  const { seed, durationMs, nodeCount, replicaCount } = options;
  const random = xoroshiro128plus(seed);
  FAULT_CLASSES.slice(0, FAULT_CLASSES.indexOf(faultClass)).forEach(() => random.jump());
  const draw = (count: number): number => uniformInt(random, 0, count - 1);
  const pick = <Item>(items: readonly Item[]): Item => items[draw(items.length)];
  const creators: Readonly<Record<FaultClass, () => Fault>> = {
    general: () => {
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
    },
    pauses: () => {
      const all = Array.from({ length: replicaCount }, (_unused, index) => index);
      return new ReplicaPauseFault(pick([all, [pick(all)]]));
    },
    answers: () => {
      const replica = draw(replicaCount);
      return pick([
        () => new ReplicaResponseFault('unframed', replica),
        () =>
          new ReplicaResponseFault(pick(['breakUnframed', 'cutHead', 'fail'] as const), replica),
      ])();
    },
    entries: () => new OddEntryFault(pick(OddEntryFault.oddities), pick(OddEntryFault.kinds)),
    timeouts: () =>
      new TimeoutChange(MIN_CHANGE_PERIOD_MS + draw(MAX_CHANGE_PERIOD_MS - MIN_CHANGE_PERIOD_MS)),
    prompts: () => new DeadlyPartFault(pick(['/audit/x', '/verdict/x'])),
  };
  return Array.from({ length: SERIES_COUNTS[faultClass] }, () => {
    const planned: PlannedFault[] = [];
    let atMs = draw(MAX_PAUSE_MS);
    while (atMs < durationMs) {
      const drawnMs = draw(MAX_DRAWN_MS);
      const fault = creators[faultClass]();
      const { min, max } = fault.durationsMs;
      const forMs = min + (drawnMs % (max - min));
      planned.push({ fault, atMs, forMs });
      atMs += forMs + draw(MAX_PAUSE_MS);
    }
    return planned;
  }).flat();
}

export default function planFaults(options: FaultPlanOptions): readonly PlannedFault[] {
  return options.classes.flatMap((faultClass) => planClass(faultClass, options));
}
