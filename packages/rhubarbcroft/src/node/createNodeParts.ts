/** Creates from the settings the objects that the supervisors of a node share. */
import { randomUUID } from 'node:crypto';
import type Settings from '@rhubarbcroft/protocol/settings/Settings';
import IntakeAccount from '../callers/IntakeAccount.js';
import CurrentFleet from '../configuration/CurrentFleet.js';
import FleetRepository from '../configuration/FleetRepository.js';
import createIntakeLimits from '../decisions/intake/createIntakeLimits.js';
import PoisonTracker from '../decisions/poison/PoisonTracker.js';
import DemandMeter from '../decisions/roles/DemandMeter.js';
import EndpointRegistry from '../endpoints/EndpointRegistry.js';
import HttpDriverFactory from '../endpoints/HttpDriverFactory.js';
import DrainRegistry from '../membership/DrainRegistry.js';
import NodeDirectory from '../membership/NodeDirectory.js';
import VmRegistry from '../membership/VmRegistry.js';
import HttpObjectStore from '../store/HttpObjectStore.js';
import HttpTableStore from '../store/HttpTableStore.js';
import HttpVmList from '../store/HttpVmList.js';
import PlatformClient from '../store/PlatformClient.js';
import SystemClock from '../supervision/SystemClock.js';
import NoopMetrics from '../telemetry/NoopMetrics.js';
import StatsdMetrics from '../telemetry/StatsdMetrics.js';
import createLogger from '../telemetry/createLogger.js';
import type NodeParts from './NodeParts.js';

const INCARNATION_LENGTH = 8;

export default function createNodeParts(settings: Settings, shutdown: AbortSignal): NodeParts {
  const { node, peers, platform, telemetry } = settings;
  const clock = new SystemClock();
  const platformClient = new PlatformClient(platform.tableUrl, platform.timeoutMs);
  const table = new HttpTableStore(platformClient);
  const own = {
    nodeId: node.id,
    incarnation: randomUUID().slice(0, INCARNATION_LENGTH),
    domain: node.domain,
  };
  const directory = new NodeDirectory(own, clock, peers.heartbeatMs);
  const vms = new VmRegistry(clock, platform.vmListLagMs);
  const drains = new DrainRegistry(clock);
  const log = createLogger({
    name: 'rhubarbcroftd',
    level: telemetry.logLevel,
    node: node.id,
    domain: node.domain,
  });
  const metrics =
    telemetry.statsdAddress === ''
      ? new NoopMetrics()
      : new StatsdMetrics(telemetry.statsdAddress, node.id);
  const limits = createIntakeLimits(settings.callers.maxHeldBytes);
  return {
    settings,
    clock,
    log,
    metrics,
    intake: new IntakeAccount({ limits, clock, log, metrics }),
    platformClient,
    table,
    objects: new HttpObjectStore(platformClient),
    vmList: new HttpVmList(platformClient),
    directory,
    vms,
    drains,
    currentFleet: new CurrentFleet(),
    repository: new FleetRepository(table),
    registry: new EndpointRegistry(clock, new HttpDriverFactory(settings), {
      drains,
      vms,
      findDomainPosition: () => directory.findDomainPosition(),
    }),
    poison: new PoisonTracker(clock),
    demand: new DemandMeter(),
    shutdown,
  };
}
