/** Creates the policies to compare: the daemon's own, variants with single parts replaced, and baselines. */
import DemandRolePlanner from 'rhubarbcroft/decisions/roles/DemandRolePlanner';
import ROLE_PLANNING from 'rhubarbcroft/decisions/roles/ROLE_PLANNING';
import StaticRolePlanner from 'rhubarbcroft/decisions/roles/StaticRolePlanner';
import FairAdmission from 'rhubarbcroft/decisions/admission/FairAdmission';
import HeadroomRule from 'rhubarbcroft/decisions/admission/HeadroomRule';
import CostRouter from 'rhubarbcroft/decisions/routing/CostRouter';
import COST_ROUTING from 'rhubarbcroft/decisions/routing/COST_ROUTING';
import LeastLoadedRouter from 'rhubarbcroft/decisions/routing/LeastLoadedRouter';
import estimateServiceMs from 'rhubarbcroft/decisions/estimateServiceMs';
import FifoAdmission from './FifoAdmission.js';
import type PolicySpec from './PolicySpec.js';
import RoundRobinRouter from './RoundRobinRouter.js';
import AlwaysDispatchRule from './AlwaysDispatchRule.js';
import StrictPriorityAdmission from './StrictPriorityAdmission.js';
import type TraceKind from './TraceKind.js';

const DEFAULT_SHARE = { weight: 1, floor: 0 };
const MAX_QUEUED = 2_000;

function createFair(kinds: readonly TraceKind[]): FairAdmission {
  const shares = new Map(kinds.map((kind) => [kind.name, kind]));
  return new FairAdmission({
    maxQueuedPerKind: MAX_QUEUED,
    findShare: (kind) => shares.get(kind) ?? DEFAULT_SHARE,
    estimateServiceMs,
  });
}

export default function createPolicies(): readonly PolicySpec[] {
  const location = { ownDomain: 'd', ownRegion: 'r', crossRegionPenaltyMs: 400 };
  const own: PolicySpec = {
    name: 'own',
    usesPriority: true,
    createAdmission: createFair,
    createRouter: (random) => new CostRouter({ ...COST_ROUTING, ...location }, random),
    createDispatchRule: () => new HeadroomRule(),
    createPlanner: () => new DemandRolePlanner(ROLE_PLANNING),
  };
  const roundRobin: PolicySpec = {
    ...own,
    name: 'round-robin',
    usesPriority: false,
    createAdmission: () => new FifoAdmission(),
    createRouter: () => new RoundRobinRouter(0),
    createDispatchRule: () => new AlwaysDispatchRule(),
    createPlanner: () => new StaticRolePlanner(),
  };
  return [
    own,
    { ...own, name: 'own-central', central: true },
    { ...own, name: 'static-roles', createPlanner: () => new StaticRolePlanner() },
    { ...own, name: 'strict-priority', createAdmission: () => new StrictPriorityAdmission() },
    { ...own, name: 'first-come', usesPriority: false, createAdmission: () => new FifoAdmission() },
    { ...roundRobin, name: 'least-loaded', createRouter: () => new LeastLoadedRouter('r') },
    roundRobin,
  ];
}
