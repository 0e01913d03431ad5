/** What a forwarding node is told at its start. Addresses are IP and port. */
interface GatewaySettings {
  readonly nodeId: string;
  readonly domain: string;
  readonly regionsByDomain: Readonly<Record<string, string>>;
  readonly callerAddress: string;
  readonly readinessAddress: string;
  /** Where peers ask what this node knows. */
  readonly peerAddress: string;
  /** Peers to ask before the store has told of others; they may be stale or down. */
  readonly seedPeers: readonly string[];
  readonly metricsAddress: string;
  readonly storeUrl: string;
  /** From the signal to stop until the process is killed. */
  readonly shutdownGraceMs: number;
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  readonly retryReserve: number;
  readonly maxConnections: number;
}

export default GatewaySettings;
