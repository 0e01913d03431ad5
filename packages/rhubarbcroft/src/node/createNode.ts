/**
 * Builds the supervisor tree of an entry VM.
 *
 * The children start in the order in which they are declared and stop in reverse order: first callers
 * (stop accepting, finish running requests), then operators, dispatch, control, claims, endpoints, peers,
 * membership and configuration.
 */
import type Settings from '@rhubarbcroft/protocol/settings/Settings';
import ClaimWriter from '../claims/ClaimWriter.js';
import FleetPoller from '../configuration/FleetPoller.js';
import GateRegistry from '../dispatch/GateRegistry.js';
import EndpointsSupervisor from '../endpoints/EndpointsSupervisor.js';
import VmListPoller from '../membership/VmListPoller.js';
import Supervisor from '../supervision/Supervisor.js';
import type NodeParts from './NodeParts.js';
import PeerSubsystem from './PeerSubsystem.js';
import createCallerSupervisor from './createCallerSupervisor.js';
import createControlSupervisor from './createControlSupervisor.js';
import createOperatorSupervisor from './createOperatorSupervisor.js';
import createNodeParts from './createNodeParts.js';

interface Node {
  readonly root: Supervisor;
  readonly parts: NodeParts;
}

export default function createNode(settings: Settings, shutdown: AbortSignal): Node {
  const parts = createNodeParts(settings, shutdown);
  const { clock, log, currentFleet, repository, registry, directory, vmList, vms, table } = parts;
  const root = new Supervisor('root', clock, log);
  const peers = new PeerSubsystem(parts);
  shutdown.addEventListener('abort', () => peers.publishHeartbeat(), { once: true });
  const gates = new GateRegistry(clock);
  const writer = new ClaimWriter(table, clock, settings.control.claimGroupMs);
  const endpoints = new EndpointsSupervisor(
    currentFleet,
    {
      registry,
      directory,
      clock,
      loadReportMs: settings.endpoints.loadReportMs,
      publish: (report) => peers.publishLoad(report),
    },
    clock,
    log,
  );
  const dumpState = (): unknown => ({
    node: directory.dumpState(),
    drains: parts.drains.list(),
    peerTraffic: peers.traffic.dumpState(),
    suspects: parts.poison.list().length,
    tree: root.dumpState(),
    memory: process.memoryUsage(),
    uptimeS: Math.round(process.uptime()),
  });
  root.declareChildren(
    new Supervisor('configuration', clock, log).declareChildren(
      new FleetPoller(currentFleet, repository, clock, settings.platform.pollMs, log),
    ),
    new Supervisor('membership', clock, log).declareChildren(
      new VmListPoller(vmList, vms, clock, settings.platform.pollMs),
    ),
    peers.supervisor,
    endpoints,
    new Supervisor('claims', clock, log).declareChildren(writer),
    createControlSupervisor(parts, peers),
    new Supervisor('dispatch', clock, log).declareChildren(gates),
    createOperatorSupervisor(parts, peers, dumpState),
    createCallerSupervisor(parts, peers, gates, writer),
  );
  return { root, parts };
}
