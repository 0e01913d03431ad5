/** Start-up settings of a forwarding node. Addresses are IP address and port. */
import type DutySettings from '../duties/DutySettings.js';

interface GatewaySettings {
  readonly nodeId: string;
  /** The failure domain of the node. */
  readonly domain: string;
  readonly regionsByDomain: Readonly<Record<string, string>>;
  /** Where the node accepts callers' requests. */
  readonly callerAddress: string;
  /** Where the balancer probes the node's readiness. */
  readonly readinessAddress: string;
  /** Where the node accepts connections of its peers. */
  readonly peerAddress: string;
  /** Peers to query before the node list has been read from the store; they may be outdated or down. */
  readonly seedPeers: readonly string[];
  /** Where the node serves its metrics. */
  readonly metricsAddress: string;
  readonly storeUrl: string;
  /** Time from the stop signal until the process is killed. */
  readonly shutdownGraceMs: number;
  /** Time after a disturbance from which a node counts as in contact with the store. */
  readonly contactMs: number;
  /** Time within which a node has to stop using an instance that leaves. */
  readonly drainMs: number;
  /** Time within which a routing document has to be in force. */
  readonly configApplyMs: number;
  /** Retries allowed for each request of the window. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Retries that the fleet may spend in any window, regardless of its requests. */
  readonly retryReserve: number;
  /** Undefined when the platform has no duties for this fleet. */
  readonly duties?: DutySettings | undefined;
  /** Memory of the machine; the smallest that users have when it is undefined. */
  readonly memoryMb?: number | undefined;
  /** Limit on the callers' connections. */
  readonly maxConnections: number;
}

export default GatewaySettings;
