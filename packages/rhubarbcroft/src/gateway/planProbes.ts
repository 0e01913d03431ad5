/** Plans the listeners for the balancer's readiness probes and for the operators' metrics scraper. */
import type Logger from 'bunyan';
import HttpListener from '../callers/HttpListener.js';
import type IntakeAccount from '../callers/IntakeAccount.js';
import type Clock from '../supervision/Clock.js';
import Supervisor from '../supervision/Supervisor.js';
import type PrometheusMetrics from '../telemetry/PrometheusMetrics.js';
import type GatewaySettings from './GatewaySettings.js';
import MetricsServer from './MetricsServer.js';
import ReadinessServer from './ReadinessServer.js';

interface ProbeOptions {
  readonly settings: GatewaySettings;
  readonly log: Logger;
  readonly shutdown: AbortSignal;
  readonly clock: Clock;
  readonly metrics: PrometheusMetrics;
  readonly intake: IntakeAccount;
}

const MAX_HEADER_BYTES = 65_536;
const MAX_PROBE_CONNECTIONS = 64;

export default function planProbes(
  { settings, log, shutdown, clock, metrics, intake }: ProbeOptions,
  isComplete: () => boolean,
): Supervisor {
  const supervisor = new Supervisor('probes', clock, log);
  const listen = {
    ...{ clock, log, metrics, intake, supervisor },
    maxHeaderBytes: MAX_HEADER_BYTES,
    certificates: undefined,
    maxConnections: MAX_PROBE_CONNECTIONS,
    lameDuckMs: 0,
  };
  return supervisor.declareChildren(
    new HttpListener({
      ...listen,
      name: 'readiness-listener',
      address: settings.readinessAddress,
      frontEnd: new ReadinessServer(() => isComplete() && !shutdown.aborted),
    }),
    new HttpListener({
      ...listen,
      name: 'metrics-listener',
      address: settings.metricsAddress,
      frontEnd: new MetricsServer(metrics),
    }),
  );
}
