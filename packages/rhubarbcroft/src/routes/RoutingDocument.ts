/** One version of the routes, services, client accounts and limits that operators publish. */
import type ClientAccount from './ClientAccount.js';
import type RequestLimits from './RequestLimits.js';
import type Route from './Route.js';
import type ServiceDefinition from './ServiceDefinition.js';

interface RoutingDocument {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceDefinition[];
  /** Undefined when the configuration has no accounts: callers then need no key. */
  readonly accounts?: readonly ClientAccount[] | undefined;
  readonly limits: RequestLimits;
}

export default RoutingDocument;
