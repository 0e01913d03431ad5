/** A service behind the routes. `engine` is present when its endpoints are model engines. */
import type EngineLimits from './EngineLimits.js';

interface ServiceDefinition {
  readonly name: string;
  readonly healthPath: string;
  /** How many connections one endpoint accepts from all nodes together. */
  readonly maxConnections: number;
  readonly engine: EngineLimits | undefined;
}

export default ServiceDefinition;
