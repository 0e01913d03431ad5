/** A service behind the routes. `engine` is present when its endpoints are model engines. */
import type EngineLimits from './EngineLimits.js';

interface ServiceDefinition {
  readonly name: string;
  readonly engine: EngineLimits | undefined;
}

export default ServiceDefinition;
