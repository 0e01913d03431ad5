/** A running stand-in endpoint of a local fleet. */
import type EndpointPlan from './EndpointPlan.js';
import type Program from './Program.js';

interface LocalEndpoint {
  readonly plan: EndpointPlan;
  readonly program: Program;
  /** Port of the stand-in itself, also when a relay is in between. */
  readonly port: number;
  /** URL in the fleet document: that of the relay if there is one. */
  readonly url: string;
}

export default LocalEndpoint;
