/** One version of the routes, services and limits that operators publish. */
import type RequestLimits from './RequestLimits.js';
import type Route from './Route.js';
import type ServiceDefinition from './ServiceDefinition.js';

interface RoutingDocument {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceDefinition[];
  readonly limits: RequestLimits;
}

export default RoutingDocument;
