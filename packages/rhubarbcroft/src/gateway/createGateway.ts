/**
 * Builds the supervisor tree of a forwarding node: the feeds of routes and endpoints, the listeners for peers,
 * readiness probes and metrics, and the callers' listener with a task for each connection.
 *
 * The shutdown runs in reverse order: the callers' listener continues to accept until the balancer has noticed,
 * requests in flight are finished, and only then the feeds stop.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type Logger from 'bunyan';
import HttpListener from '../callers/HttpListener.js';
import type IntakeAccount from '../callers/IntakeAccount.js';
import BudgetAdmission from '../decisions/admission/BudgetAdmission.js';
import DeadlineAdmission from '../decisions/admission/DeadlineAdmission.js';
import CostPromptPlacement from '../decisions/placement/CostPromptPlacement.js';
import EngineSpeeds from '../decisions/placement/EngineSpeeds.js';
import orderByHash from '../decisions/orderByHash.js';
import computeTransferMsPerToken from '../decisions/placement/computeTransferMsPerToken.js';
import FleetRetryBudget from '../decisions/retries/FleetRetryBudget.js';
import StopAdmission from '../decisions/shutdown/StopAdmission.js';
import type StopTimes from '../decisions/shutdown/StopTimes.js';
import deriveStopTimes from '../decisions/shutdown/deriveStopTimes.js';
import createDuties from '../duties/createDuties.js';
import FeedReader from '../discovery/FeedReader.js';
import deriveFeedTiming from '../discovery/deriveFeedTiming.js';
import FollowedFeed from '../gossip/FollowedFeed.js';
import GossipState from '../gossip/GossipState.js';
import LeaderLink from '../gossip/LeaderLink.js';
import type EndpointNotifier from '../gossip/EndpointNotifier.js';
import DemandCounter from '../forwarding/DemandCounter.js';
import EngineChooser from '../forwarding/EngineChooser.js';
import type ForwardContext from '../forwarding/ForwardContext.js';
import Forwarder from '../forwarding/Forwarder.js';
import OpenRequests from '../forwarding/OpenRequests.js';
import QuarantineKeeper from '../forwarding/QuarantineKeeper.js';
import ForwardingFrontEnd from '../forwarding/ForwardingFrontEnd.js';
import ServiceChooser from '../forwarding/ServiceChooser.js';
import InstanceRegistry from '../instances/InstanceRegistry.js';
import isConnectionRefused from '../instances/isConnectionRefused.js';
import type Instance from '../instances/Instance.js';
import RoutingConsumer from '../routes/RoutingConsumer.js';
import type RoutingDocument from '../routes/RoutingDocument.js';
import CurrentRouting from '../routes/CurrentRouting.js';
import planScaling from '../scaling/planScaling.js';
import StageController from '../stages/StageController.js';
import Supervisor from '../supervision/Supervisor.js';
import SystemClock from '../supervision/SystemClock.js';
import PrometheusMetrics from '../telemetry/PrometheusMetrics.js';
import type GatewaySettings from './GatewaySettings.js';
import type GatewaySources from './GatewaySources.js';
import PeerBranch from './PeerBranch.js';
import PlannedStop from './PlannedStop.js';
import createIntake from './createIntake.js';
import planProbes from './planProbes.js';

interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly sources: GatewaySources;
  readonly log: Logger;
  readonly shutdown: AbortSignal;
}

/**
 * A connection across regions takes 60 ms according to the users' requirements, and a tenth of a second more on a
 * fully loaded core; a machine that is down never answers.
 */
const CONNECT_TIMEOUT_MS = 300;
/** Limit of the HTTP parser on the request head; the limit that the operator configures is lower. */
const LISTEN_DEFAULTS = { maxHeaderBytes: 65_536, certificates: undefined };
/** Fleet size that a node assumes until it knows of more nodes, which is the current size of every user's fleet. */
const MIN_NODES = 8;

/** The transfer time of the engines that the routing document names; 0 while there are none. */
function readFleetTransferMs(routing: CurrentRouting): number {
  const services = routing.current?.document.services ?? [];
  const engine = services.find((service) => service.engine !== undefined)?.engine;
  return engine === undefined ? 0 : computeTransferMsPerToken(engine);
}

interface NodeState {
  readonly routing: CurrentRouting;
  readonly registry: InstanceRegistry;
  readonly readers: readonly [FeedReader<RoutingDocument>, FeedReader<Instance>];
  readonly gossipState: GossipState;
  readonly leader: LeaderLink;
}

/** Creates the node's state of routes, instances and peers, and the feed readers that update it. */
function createNodeState(
  { settings, sources, log }: GatewayOptions,
  clock: SystemClock,
): NodeState {
  const routing = new CurrentRouting();
  const registry = new InstanceRegistry({
    routing,
    clock,
    log,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
  });
  const gossipState = new GossipState({
    routing,
    registry,
    address: settings.peerAddress,
    domain: settings.domain,
    clock,
  });
  gossipState.addNodes(settings.seedPeers);
  const leader = new LeaderLink(gossipState, clock, log);
  const followed = { state: gossipState, leader };
  const reading = { timing: deriveFeedTiming(settings), clock, log };
  const readers = [
    new FeedReader({
      ...reading,
      feed: new FollowedFeed({
        ...followed,
        feed: sources.routing,
        isBehind: () => leader.routingVersion > routing.version,
      }),
      consumer: new RoutingConsumer(routing, log),
    }),
    new FeedReader({
      ...reading,
      // The leader's pulses carry the instances themselves, so this feed never has to catch up with the leader.
      feed: new FollowedFeed({ ...followed, feed: sources.instances, isBehind: () => false }),
      consumer: registry,
    }),
  ] as const;
  gossipState.setFeeds(readers);
  return { routing, registry, readers, gossipState, leader };
}

function createContext(
  { settings, sources, log }: GatewayOptions,
  { routing, registry, gossipState }: NodeState,
  notifier: EndpointNotifier,
  metrics: PrometheusMetrics,
  speeds: EngineSpeeds,
  clock: SystemClock,
): ForwardContext {
  return {
    location: settings,
    routing,
    registry,
    protocol: sources.protocol,
    retryBudget: new FleetRetryBudget({
      ratio: settings.retryRatio,
      windowMs: settings.retryWindowMs,
      reserve: settings.retryReserve,
      countNodes: () => Math.max(MIN_NODES, gossipState.nodes.length + 1),
    }),
    speeds,
    metrics,
    notifyPeers: (notice) => notifier.add(notice),
    clock,
    log,
  };
}

/** Plans the task that changes the stages of engines. */
function planOrders(
  { settings, sources, log }: GatewayOptions,
  { registry, routing, gossipState }: NodeState,
  clock: SystemClock,
): Supervisor {
  const { rights, protocol } = sources;
  const address = settings.peerAddress;
  return new Supervisor('orders', clock, log).declareChildren(
    new StageController({
      ...{ registry, routing, rights, protocol, address, clock, log },
      listNodes: () => [...gossipState.nodes, address],
    }),
  );
}

/** What the callers' listener and the task of the planned stop share. */
interface StopState {
  readonly times: StopTimes;
  readonly admission: StopAdmission;
  readonly openRequests: OpenRequests;
}

/** Plans the callers' listener, with a task for each connection. */
function planCallers(
  { settings, log, shutdown }: GatewayOptions,
  { routing }: NodeState,
  context: ForwardContext,
  intake: IntakeAccount,
  keeper: QuarantineKeeper,
  { times, admission, openRequests }: StopState,
): Supervisor {
  const { clock } = context;
  const supervisor = new Supervisor('callers', clock, log);
  const placement = new CostPromptPlacement(settings, context.speeds, () =>
    readFleetTransferMs(routing),
  );
  const forwarder = new Forwarder({
    context,
    admission: { withAccounts: new DeadlineAdmission(), withoutAccounts: new BudgetAdmission() },
    engines: new EngineChooser(context, placement),
    services: new ServiceChooser(context),
    keeper,
  });
  const random = xoroshiro128plus(process.pid);
  return supervisor.declareChildren(
    new HttpListener({
      ...LISTEN_DEFAULTS,
      clock,
      log,
      metrics: context.metrics,
      intake,
      supervisor,
      name: 'caller-listener',
      address: settings.callerAddress,
      maxConnections: settings.maxConnections,
      lameDuckMs: times.acceptMs,
      readTimeouts: () => routing.current?.document.limits,
      frontEnd: new ForwardingFrontEnd({
        ...{ context, forwarder, random, shutdown, openRequests },
        stopAdmission: admission,
      }),
    }),
  );
}

export default function createGateway(options: GatewayOptions): Supervisor {
  const { settings, sources, log } = options;
  const clock = new SystemClock();
  const state = createNodeState(options, clock);
  const metrics = new PrometheusMetrics();
  const peers = new PeerBranch({
    ...{ settings, nodes: sources.nodes, state: state.gossipState, leader: state.leader },
    ...{ metrics, clock, log },
  });
  const speeds = new EngineSpeeds();
  const demand = settings.duties?.ordersReplicas ? new DemandCounter(speeds) : undefined;
  const duties = createDuties(options, state.gossipState, { clock, metrics, demand });
  const context = {
    ...createContext(options, state, peers.notifier, metrics, speeds, clock),
    ...{ demand, runs: duties?.runs },
  };
  const intake = createIntake(settings, clock, log, metrics);
  const { peerAddress } = settings;
  const keeper = new QuarantineKeeper(context, {
    countNodesAhead: (part) =>
      orderByHash(part, [...state.gossipState.nodes, peerAddress]).indexOf(peerAddress),
    isRefused: (address) => isConnectionRefused(address, CONNECT_TIMEOUT_MS),
  });
  state.gossipState.setEvidence(keeper);
  const times = deriveStopTimes(settings.shutdownGraceMs);
  const stop = {
    times,
    admission: new StopAdmission(times),
    openRequests: new OpenRequests(clock, log),
  };
  return new Supervisor('root', clock, log).declareChildren(
    // Stopped last, since it runs while the other children stop.
    new PlannedStop({ ...stop, shutdown: options.shutdown, clock }),
    new Supervisor('discovery', clock, log).declareChildren(...state.readers),
    peers.build(keeper),
    planOrders(options, state, clock),
    ...planScaling(settings.duties, duties, context, log),
    planProbes({ ...options, clock, metrics, intake }, () => state.gossipState.isComplete),
    planCallers(options, state, context, intake, keeper, stop),
  );
}
