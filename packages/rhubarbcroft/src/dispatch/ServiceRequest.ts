/** A call to a plain service, independent of the caller's protocol. */
import type Work from '../decisions/Work.js';
import type ServiceCall from '../endpoints/ServiceCall.js';

interface ServiceRequest {
  readonly work: Work;
  readonly account: string;
  readonly service: string;
  readonly call: ServiceCall;
  readonly fingerprint: string;
  readonly idempotencyKey: string | undefined;
  /** The selector of the placement rule that applies; empty when there is none. */
  readonly where: string;
}

export default ServiceRequest;
