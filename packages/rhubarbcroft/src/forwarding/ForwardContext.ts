/** What the forwarding of requests shares: who this node is, what it knows, and its budgets. */
import type Logger from 'bunyan';
import type EngineSpeeds from '../decisions/placement/EngineSpeeds.js';
import type Place from '../decisions/placement/Place.js';
import type FleetRetryBudget from '../decisions/retries/FleetRetryBudget.js';
import type EndpointNotice from '../exchange/EndpointNotice.js';
import type InstanceRegistry from '../instances/InstanceRegistry.js';
import type RoutingHolder from '../routes/RoutingHolder.js';
import type Clock from '../supervision/Clock.js';
import type Metrics from '../telemetry/Metrics.js';
import type EndpointProtocol from './EndpointProtocol.js';

interface ForwardContext {
  readonly place: Place;
  readonly routing: RoutingHolder;
  readonly registry: InstanceRegistry;
  readonly protocol: EndpointProtocol;
  readonly retries: FleetRetryBudget;
  readonly speeds: EngineSpeeds;
  /** Tells the peers what this node has found of an endpoint. */
  readonly tellPeers: (notice: EndpointNotice) => void;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly log: Logger;
}

export default ForwardContext;
