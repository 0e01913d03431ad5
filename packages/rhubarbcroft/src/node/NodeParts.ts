/** The objects of a node that its supervisors share; created once, before the supervisor tree starts. */
import type Logger from 'bunyan';
import type Settings from '@rhubarbcroft/protocol/settings/Settings';
import type IntakeAccount from '../callers/IntakeAccount.js';
import type CurrentFleet from '../configuration/CurrentFleet.js';
import type FleetRepository from '../configuration/FleetRepository.js';
import type PoisonTracker from '../decisions/poison/PoisonTracker.js';
import type DemandMeter from '../decisions/roles/DemandMeter.js';
import type EndpointRegistry from '../endpoints/EndpointRegistry.js';
import type DrainRegistry from '../membership/DrainRegistry.js';
import type NodeDirectory from '../membership/NodeDirectory.js';
import type VmRegistry from '../membership/VmRegistry.js';
import type ObjectStore from '../store/ObjectStore.js';
import type PlatformClient from '../store/PlatformClient.js';
import type TableStore from '../store/TableStore.js';
import type VmList from '../store/VmList.js';
import type Clock from '../supervision/Clock.js';
import type Metrics from '../telemetry/Metrics.js';

interface NodeParts {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly intake: IntakeAccount;
  readonly platformClient: PlatformClient;
  readonly table: TableStore;
  readonly objects: ObjectStore;
  readonly vmList: VmList;
  readonly directory: NodeDirectory;
  readonly vms: VmRegistry;
  readonly drains: DrainRegistry;
  readonly currentFleet: CurrentFleet;
  readonly repository: FleetRepository;
  readonly registry: EndpointRegistry;
  readonly poison: PoisonTracker;
  readonly demand: DemandMeter;
  /** Aborts when the graceful shutdown of the node begins. */
  readonly shutdown: AbortSignal;
}

export default NodeParts;
