/** Dependencies shared by all requests that a node forwards: its location, state, budgets and telemetry. */
import type Logger from 'bunyan';
import type EngineSpeeds from '../decisions/placement/EngineSpeeds.js';
import type NodeLocation from '../decisions/placement/NodeLocation.js';
import type FleetRetryBudget from '../decisions/retries/FleetRetryBudget.js';
import type RunRecorder from '../duties/RunRecorder.js';
import type EndpointNotice from '../gossip/EndpointNotice.js';
import type InstanceRegistry from '../instances/InstanceRegistry.js';
import type CurrentRouting from '../routes/CurrentRouting.js';
import type Clock from '../supervision/Clock.js';
import type Metrics from '../telemetry/Metrics.js';
import type DemandCounter from './DemandCounter.js';
import type EndpointProtocol from './EndpointProtocol.js';

interface ForwardContext {
  readonly location: NodeLocation;
  readonly routing: CurrentRouting;
  readonly registry: InstanceRegistry;
  readonly protocol: EndpointProtocol;
  readonly retryBudget: FleetRetryBudget;
  readonly speeds: EngineSpeeds;
  /** Undefined when nobody asks for the demand. */
  readonly demand?: DemandCounter | undefined;
  /** Notifies the peers of a dispatched prompt or an unreachable endpoint. */
  readonly notifyPeers: (notice: EndpointNotice) => void;
  /** Counts the requests that began to run; undefined when nobody asks for them. */
  readonly runs?: RunRecorder | undefined;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly log: Logger;
}

export default ForwardContext;
