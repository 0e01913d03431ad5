/** A service that routes can name as a destination. `engine` is defined when its endpoints are model engines. */
import type EngineLimits from './EngineLimits.js';

interface ServiceDefinition {
  readonly name: string;
  readonly engine: EngineLimits | undefined;
}

export default ServiceDefinition;
