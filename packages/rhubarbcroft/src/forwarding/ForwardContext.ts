/** What the forwarding of requests shares: who this node is, what it knows, and its budgets. */
import type Logger from 'bunyan';
import type Place from '../decisions/placement/Place.js';
import type FleetRetryBudget from '../decisions/retries/FleetRetryBudget.js';
import type InstanceRegistry from '../instances/InstanceRegistry.js';
import type RoutingHolder from '../routes/RoutingHolder.js';
import type Clock from '../supervision/Clock.js';
import type EndpointProtocol from './EndpointProtocol.js';
import type EngineSpeeds from './EngineSpeeds.js';

interface ForwardContext {
  readonly place: Place;
  readonly routing: RoutingHolder;
  readonly registry: InstanceRegistry;
  readonly protocol: EndpointProtocol;
  readonly retries: FleetRetryBudget;
  readonly speeds: EngineSpeeds;
  readonly clock: Clock;
  readonly log: Logger;
}

export default ForwardContext;
