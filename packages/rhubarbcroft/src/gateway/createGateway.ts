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
import FleetRetryBudget from '../decisions/retries/FleetRetryBudget.js';
import FeedReader from '../discovery/FeedReader.js';
import EngineChooser from '../forwarding/EngineChooser.js';
import EngineSpeeds from '../forwarding/EngineSpeeds.js';
import type ForwardContext from '../forwarding/ForwardContext.js';
import Forwarder from '../forwarding/Forwarder.js';
import ForwardingFrontEnd from '../forwarding/ForwardingFrontEnd.js';
import ServiceChooser from '../forwarding/ServiceChooser.js';
import InstanceRegistry from '../instances/InstanceRegistry.js';
import RoutingConsumer from '../routes/RoutingConsumer.js';
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

function createContext(
  { settings, sources, log }: GatewayOptions,
  clock: SystemClock,
): ForwardContext {
  const routing = new RoutingHolder();
  const registry = new InstanceRegistry({
    routing,
    clock,
    log,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
  });
  return {
    place: settings,
    routing,
    registry,
    protocol: sources.protocol,
    retries: new FleetRetryBudget({
      ratio: settings.retryRatio,
      windowMs: settings.retryWindowMs,
      reserve: settings.retryReserve,
      countNodes: () => 10,
    }),
    speeds: new EngineSpeeds(routing),
    clock,
    log,
  };
}

export default function createGateway(options: GatewayOptions): Supervisor {
  const { settings, sources, log, shutdown } = options;
  const clock = new SystemClock();
  const context = createContext(options, clock);
  const { routing, registry, speeds } = context;
  const forwarder = new Forwarder({
    context,
    engines: new EngineChooser(context, new CostPromptPlacement(settings, speeds)),
    services: new ServiceChooser(context),
  });
  const callers = new Supervisor('callers', clock, log);
  const probes = new Supervisor('readiness', clock, log);
  const isReady = (): boolean =>
    routing.current !== undefined && registry.version > 0 && !shutdown.aborted;
  const listen = { maxHeaderBytes: MAX_HEADER_BYTES, clock, certificates: undefined };
  return new Supervisor('root', clock, log).plan(
    new Supervisor('discovery', clock, log).plan(
      new FeedReader(sources.routing, new RoutingConsumer(routing, log), clock, log),
      new FeedReader(sources.instances, registry, clock, log),
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
