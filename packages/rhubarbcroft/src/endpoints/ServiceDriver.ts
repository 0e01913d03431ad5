/** The client of one plain service. Subclasses implement a protocol. */
import type Result from 'true-myth/result';
import type LoadReport from '@rhubarbcroft/protocol/fleet/LoadReport';
import type AttemptFailure from './AttemptFailure.js';
import type ServiceAnswer from './ServiceAnswer.js';
import type ServiceCall from './ServiceCall.js';

abstract class ServiceDriver {
  /** Sends one call, without retries, and buffers its answer. */
  abstract call(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, AttemptFailure>>;

  abstract readLoad(): Promise<Result<LoadReport, AttemptFailure>>;

  /** Closes the pooled connections; calls in flight on them fail. */
  abstract close(): Promise<void>;
}

export default ServiceDriver;
