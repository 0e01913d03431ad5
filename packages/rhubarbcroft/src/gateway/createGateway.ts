/**
 * Builds the supervisor tree of a forwarding node: the feeds that tell it where to send, the readiness
 * probe, and the callers' listener with a task for each connection.
 *
 * The shutdown goes the other way round: the callers' listener goes on accepting until the balancer has
 * noticed, requests under way are finished, and only then the feeds stop.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type Logger from 'bunyan';
import HttpListener from '../callers/HttpListener.js';
import CostPromptPlacement from '../decisions/placement/CostPromptPlacement.js';
import EngineSpeeds from '../decisions/placement/EngineSpeeds.js';
import readTransferMs from '../decisions/placement/readTransferMs.js';
import FleetRetryBudget from '../decisions/retries/FleetRetryBudget.js';
import FeedReader from '../discovery/FeedReader.js';
import KnowledgeBase from '../exchange/KnowledgeBase.js';
import KnowledgeListener from '../exchange/KnowledgeListener.js';
import KnowledgeSeeker from '../exchange/KnowledgeSeeker.js';
import NodeAnnouncer from '../exchange/NodeAnnouncer.js';
import SendNotifier from '../exchange/SendNotifier.js';
import EngineChooser from '../forwarding/EngineChooser.js';
import type ForwardContext from '../forwarding/ForwardContext.js';
import Forwarder from '../forwarding/Forwarder.js';
import ForwardingFrontEnd from '../forwarding/ForwardingFrontEnd.js';
import ServiceChooser from '../forwarding/ServiceChooser.js';
import InstanceRegistry from '../instances/InstanceRegistry.js';
import type Instance from '../instances/Instance.js';
import RoutingConsumer from '../routes/RoutingConsumer.js';
import type RoutingDocument from '../routes/RoutingDocument.js';
import RoutingHolder from '../routes/RoutingHolder.js';
import Supervisor from '../supervision/Supervisor.js';
import SystemClock from '../supervision/SystemClock.js';
import type GatewaySettings from './GatewaySettings.js';
import type GatewaySources from './GatewaySources.js';
import ReadinessServer from './ReadinessServer.js';

interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly sources: GatewaySources;
  readonly log: Logger;
  readonly shutdown: AbortSignal;
}

/** A connection across regions takes 60 ms on the users' sheet; a dead machine never answers. */
const CONNECT_TIMEOUT_MS = 500;
/** How long the listener goes on accepting: two probes of the balancer, a second apart, and their answers. */
const LAME_DUCK_MS = 3_000;
/** The largest head that the parser takes; the operator's own limit is lower. */
const MAX_HEADER_BYTES = 65_536;
const MAX_PROBE_CONNECTIONS = 64;
/** Before a node has heard of the others it takes itself for one of this many, as each user has today. */
const MIN_NODES = 8;

/** The transfer time of the engines that the routing document names; 0 while there are none. */
function readFleetTransferMs(routing: RoutingHolder): number {
  const services = routing.current?.document.services ?? [];
  const engine = services.find((service) => service.engine !== undefined)?.engine;
  return engine === undefined ? 0 : readTransferMs(engine);
}

interface Known {
  readonly routing: RoutingHolder;
  readonly registry: InstanceRegistry;
  readonly readers: readonly [FeedReader<RoutingDocument>, FeedReader<Instance>];
  readonly base: KnowledgeBase;
}

/** What the node knows, and the tasks that keep it so. */
function createKnown({ settings, sources, log }: GatewayOptions, clock: SystemClock): Known {
  const routing = new RoutingHolder();
  const registry = new InstanceRegistry({
    routing,
    clock,
    log,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
  });
  const readers = [
    new FeedReader(sources.routing, new RoutingConsumer(routing, log), clock, log),
    new FeedReader(sources.instances, registry, clock, log),
  ] as const;
  const base = new KnowledgeBase({
    routing,
    registry,
    address: settings.peerAddress,
    clock,
    isCurrent: () => readers.every((reader) => reader.isHealthy),
  });
  base.addNodes(settings.seedPeers);
  return { routing, registry, readers, base };
}

function createContext(
  { settings, sources, log }: GatewayOptions,
  { routing, registry, base }: Known,
  notifier: SendNotifier,
  clock: SystemClock,
): ForwardContext {
  return {
    place: settings,
    routing,
    registry,
    protocol: sources.protocol,
    retries: new FleetRetryBudget({
      ratio: settings.retryRatio,
      windowMs: settings.retryWindowMs,
      reserve: settings.retryReserve,
      countNodes: () => Math.max(MIN_NODES, base.nodes.length + 1),
    }),
    speeds: new EngineSpeeds(),
    noteSent: (notice) => notifier.add(notice),
    clock,
    log,
  };
}

export default function createGateway(options: GatewayOptions): Supervisor {
  const { settings, sources, log, shutdown } = options;
  const clock = new SystemClock();
  const known = createKnown(options, clock);
  const { readers, base } = known;
  const peers = new Supervisor('peers', clock, log);
  const notifier = new SendNotifier(base, peers, clock);
  const context = createContext(options, known, notifier, clock);
  const forwarder = new Forwarder({
    context,
    engines: new EngineChooser(
      context,
      new CostPromptPlacement(settings, context.speeds, () => readFleetTransferMs(known.routing)),
    ),
    services: new ServiceChooser(context),
  });
  const callers = new Supervisor('callers', clock, log);
  const probes = new Supervisor('readiness', clock, log);
  const isReady = (): boolean => base.isComplete && !shutdown.aborted;
  const listen = { maxHeaderBytes: MAX_HEADER_BYTES, clock, certificates: undefined };
  return new Supervisor('root', clock, log).plan(
    new Supervisor('discovery', clock, log).plan(...readers),
    peers.plan(
      new KnowledgeListener(settings.peerAddress, base, peers, log),
      notifier,
      new KnowledgeSeeker(base, clock, log),
      new NodeAnnouncer(sources.nodes, base, { address: settings.peerAddress, clock, log }),
    ),
    probes.plan(
      new HttpListener({
        ...listen,
        name: 'readiness-listener',
        address: settings.readinessAddress,
        maxConnections: MAX_PROBE_CONNECTIONS,
        lameDuckMs: 0,
        frontEnd: new ReadinessServer(isReady),
        supervisor: probes,
      }),
    ),
    callers.plan(
      new HttpListener({
        ...listen,
        name: 'caller-listener',
        address: settings.callerAddress,
        maxConnections: settings.maxConnections,
        lameDuckMs: LAME_DUCK_MS,
        frontEnd: new ForwardingFrontEnd({
          context,
          forwarder,
          random: xoroshiro128plus(process.pid),
          shutdown,
        }),
        supervisor: callers,
      }),
    ),
  );
}
