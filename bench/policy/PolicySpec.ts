/** A named combination of admission, routing, dispatch and role planning with which traces are replayed. */
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type AdmissionPolicy from 'rhubarbcroft/decisions/admission/AdmissionPolicy';
import type DispatchRule from 'rhubarbcroft/decisions/admission/DispatchRule';
import type RolePlanner from 'rhubarbcroft/decisions/roles/RolePlanner';
import type Router from 'rhubarbcroft/decisions/routing/Router';
import type TraceKind from './TraceKind.js';

interface PolicySpec {
  readonly name: string;
  /** Whether requests carry their rank as priority to the engines. */
  readonly usesPriority: boolean;
  /** Whether a single node handles all requests; otherwise the nodes of the trace decide independently. */
  readonly central?: boolean;
  readonly createAdmission: (kinds: readonly TraceKind[]) => AdmissionPolicy;
  readonly createRouter: (random: RandomGenerator) => Router;
  readonly createDispatchRule: () => DispatchRule;
  readonly createPlanner: (engines: number) => RolePlanner;
}

export default PolicySpec;
