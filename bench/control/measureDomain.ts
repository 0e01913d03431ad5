/**
 * Runs one idle failure domain of real daemons and stand-in processes with the default periods, and measures
 * the control-plane cost of each node: CPU time, memory, traffic with peers, and table reads and writes.
 */
import { readFileSync } from 'node:fs';
import LocalFleet from '@rhubarbcroft/standins/fleet/LocalFleet';
import readProcessUsage from '../support/readProcessUsage.js';

interface DomainCost {
  readonly nodes: number;
  readonly replicas: number;
  readonly corePercent: number;
  readonly rssMb: number;
  readonly sentBytesPerS: number;
  readonly receivedBytesPerS: number;
  readonly tableReadsPerS: number;
  readonly tableWritesPerS: number;
}

interface PeerTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

const SETTLE_MS = 3_000;
const MEASURE_MS = 8_000;
const MS_PER_S = 1_000;
const KB_PER_MB = 1_024;
const PERCENT = 100;
const DEFAULT_PERIODS = {
  peers: { heartbeatMs: 1_000 },
  platform: { pollMs: 2_000 },
  endpoints: { loadReportMs: 500 },
  control: { planMs: 5_000 },
};

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

async function readTraffic(fleet: LocalFleet): Promise<PeerTraffic> {
  const states = (await Promise.all(
    fleet.nodes.map((node) => fleet.administer('GET', '/v1/state', undefined, node)),
  )) as { readonly peerTraffic: PeerTraffic }[];
  return {
    sentBytes: states.reduce((sum, { peerTraffic }) => sum + peerTraffic.sentBytes, 0),
    receivedBytes: states.reduce((sum, { peerTraffic }) => sum + peerTraffic.receivedBytes, 0),
  };
}

async function readTable(
  fleet: LocalFleet,
): Promise<{ readonly reads: number; readonly writes: number }> {
  return (await fleet.controlPlatform()) as { readonly reads: number; readonly writes: number };
}

export default async function measureDomain(nodes: number, replicas: number): Promise<DomainCost> {
  const location = { domain: 'domain', region: 'region' };
  const fleet = await LocalFleet.start({
    nodes: Array.from({ length: nodes }, (_unused, index) => ({ id: `vm-${index}`, ...location })),
    endpoints: Array.from({ length: replicas }, (_unused, index) => ({
      id: `engine-${index}`,
      kind: 'engine',
      ...location,
      labels: { model: 'appraiser' },
    })),
    document: { models: [{ name: 'appraiser', where: 'model=appraiser' }] },
    settings: DEFAULT_PERIODS,
  });
  try {
    await sleep(SETTLE_MS);
    const readUsage = (): { readonly cpuS: number; readonly rssKb: number } => {
      const usages = fleet.nodes.map((node) => readProcessUsage(readFileSync, node.program.pid));
      return {
        cpuS: usages.reduce((sum, usage) => sum + usage.cpuS, 0),
        rssKb: usages.reduce((sum, usage) => sum + usage.rssKb, 0),
      };
    };
    const [traffic, table, before] = [
      await readTraffic(fleet),
      await readTable(fleet),
      readUsage(),
    ];
    const startedAtMs = performance.now();
    await sleep(MEASURE_MS);
    const after = readUsage();
    const seconds = (performance.now() - startedAtMs) / MS_PER_S;
    const [trafficAfter, tableAfter] = [await readTraffic(fleet), await readTable(fleet)];
    return {
      nodes,
      replicas,
      corePercent: ((after.cpuS - before.cpuS) / seconds / nodes) * PERCENT,
      rssMb: after.rssKb / KB_PER_MB / nodes,
      sentBytesPerS: (trafficAfter.sentBytes - traffic.sentBytes) / seconds / nodes,
      receivedBytesPerS: (trafficAfter.receivedBytes - traffic.receivedBytes) / seconds / nodes,
      tableReadsPerS: (tableAfter.reads - table.reads) / seconds / nodes,
      tableWritesPerS: (tableAfter.writes - table.writes) / seconds,
    };
  } finally {
    await fleet.stop();
  }
}
