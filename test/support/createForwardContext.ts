/** Creates the dependencies of a forwarding node's requests, without peers, instances or a log. */
import bunyan from 'bunyan';
import PlatformProtocol from '@rhubarbcroft/platform/PlatformProtocol';
import EngineSpeeds from 'rhubarbcroft/decisions/placement/EngineSpeeds';
import FleetRetryBudget from 'rhubarbcroft/decisions/retries/FleetRetryBudget';
import type ForwardContext from 'rhubarbcroft/forwarding/ForwardContext';
import InstanceRegistry from 'rhubarbcroft/instances/InstanceRegistry';
import CurrentRouting from 'rhubarbcroft/routes/CurrentRouting';
import type Clock from 'rhubarbcroft/supervision/Clock';
import NoopMetrics from 'rhubarbcroft/telemetry/NoopMetrics';

export default function createForwardContext(clock: Clock): ForwardContext {
  const log = bunyan.createLogger({ name: 'test', streams: [] });
  const routing = new CurrentRouting();
  return {
    location: { domain: 'a', regionsByDomain: { a: 'r' } },
    routing,
    registry: new InstanceRegistry({ routing, clock, log, connectTimeoutMs: 100 }),
    protocol: new PlatformProtocol(),
    retryBudget: new FleetRetryBudget({
      ratio: 1,
      windowMs: 1_000,
      reserve: 10,
      countNodes: () => 1,
    }),
    speeds: new EngineSpeeds(),
    notifyPeers: () => undefined,
    metrics: new NoopMetrics(),
    clock,
    log,
  };
}
