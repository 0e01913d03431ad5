/**
 * Measures the overhead of the daemon compared with direct calls to the same stand-in engine in the same run:
 * first-token latency with 8 concurrent requests, tokens relayed per second and core with 500 open streams, and the memory
 * of an idle daemon and of an open stream. Prints JSON lines.
 */
import { readFileSync } from 'node:fs';
import { build } from 'hdr-histogram-js';
import LocalFleet from '@rhubarbcroft/standins/fleet/LocalFleet';
import measureDirectFirstTokenMs from './support/measureDirectFirstTokenMs.js';
import requestCompletion from '@rhubarbcroft/standins/fleet/requestCompletion';
import readProcessUsage from './support/readProcessUsage.js';

const LOCATION = { domain: 'litoral', region: 'litoral' };
const MODEL = { mixedSlots: 600, baseStepMs: 2, stepMsPerSequence: 0, prefillMsPerToken: 0.01 };
const LATENCY_ROUNDS = 300;
const LATENCY_CONCURRENCY = 8;
const STREAMS = 500;
const STREAM_TOKENS = 600;
const IDLE_CONNECTIONS = 0;
const BYTES_PER_KB = 1_024;

function printLine(value: Readonly<Record<string, unknown>>): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}

async function measureLatency(
  sendPrompt: (prompt: string) => Promise<number>,
): Promise<readonly [number, number]> {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
  for (let round = 0; round < LATENCY_ROUNDS; round += 1) {
    const batch = Array.from({ length: LATENCY_CONCURRENCY }, (_unused, index) =>
      sendPrompt(`latency ${round} ${index}`),
    );
    (await Promise.all(batch)).forEach((valueMs) =>
      histogram.recordValue(Math.round(valueMs * 1_000)),
    );
  }
  return [histogram.getValueAtPercentile(50) / 1_000, histogram.getValueAtPercentile(99) / 1_000];
}

const fleet = await LocalFleet.start({
  nodes: [{ id: 'vm-1', ...LOCATION }],
  endpoints: ['engine-1', 'engine-2'].map((id) => ({
    id,
    kind: 'engine',
    ...LOCATION,
    labels: { model: 'appraiser' },
    standin: { model: MODEL },
  })),
  document: { models: [{ name: 'appraiser', where: 'model=appraiser' }] },
  settings: {
    peers: { heartbeatMs: 1_000 },
    platform: { pollMs: 2_000 },
    endpoints: { loadReportMs: 500 },
  },
});
try {
  const [node] = fleet.nodes;
  const readDaemonUsage = (): ReturnType<typeof readProcessUsage> =>
    readProcessUsage(readFileSync, node.program.pid);
  const idle = readDaemonUsage();
  printLine({ measure: 'idle daemon', rssKb: idle.rssKb, idleConnections: IDLE_CONNECTIONS });
  const sendThroughDaemon = (prompt: string): Promise<number> =>
    requestCompletion({ url: node.callerUrl, model: 'appraiser', prompt, maxTokens: 2 }).then(
      (answer) => answer.firstTokenMs,
    );
  const sendDirectly = (prompt: string): Promise<number> =>
    measureDirectFirstTokenMs(fleet.endpoint('engine-1').url, prompt, 2);
  await measureLatency(sendThroughDaemon);
  const [directP50, directP99] = await measureLatency(sendDirectly);
  const [daemonP50, daemonP99] = await measureLatency(sendThroughDaemon);
  printLine({
    measure: 'first token ms',
    directP50,
    directP99,
    daemonP50,
    daemonP99,
    addedP50: daemonP50 - directP50,
    addedP99: daemonP99 - directP99,
  });
  const before = readDaemonUsage();
  const startedAtMs = performance.now();
  const pendingAnswers = Array.from({ length: STREAMS }, (_unused, index) =>
    requestCompletion({
      url: node.callerUrl,
      model: 'appraiser',
      prompt: `stream ${index}`,
      maxTokens: STREAM_TOKENS,
    }),
  );
  await new Promise((resolve) => {
    setTimeout(resolve, 1_500);
  });
  const during = readDaemonUsage();
  const answers = await Promise.all(pendingAnswers);
  const wallMs = performance.now() - startedAtMs;
  const after = readDaemonUsage();
  const tokens = answers.filter((answer) => answer.isComplete).length * STREAM_TOKENS;
  const cpuS = after.cpuS - before.cpuS;
  printLine({
    measure: 'relay',
    streams: STREAMS,
    whole: answers.filter((answer) => answer.isComplete).length,
    tokens,
    wallMs: Math.round(wallMs),
    daemonCpuS: cpuS,
    tokensPerCoreS: Math.round(tokens / cpuS),
    kbPerStream: Math.round((during.rssKb - before.rssKb) / STREAMS),
    rssKb: during.rssKb,
    bytesPerKb: BYTES_PER_KB,
  });
} finally {
  await fleet.stop();
}
