/** A service that routes can name as a destination. `engine` is defined when its endpoints are model engines. */
import type EngineLimits from './EngineLimits.js';
import type ScalingLimits from './ScalingLimits.js';

interface ServiceDefinition {
  readonly name: string;
  readonly engine: EngineLimits | undefined;
  /** Defined when the service's replicas are ordered by need. */
  readonly scaling?: ScalingLimits | undefined;
}

export default ServiceDefinition;
