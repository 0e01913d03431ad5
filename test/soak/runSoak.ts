/** Runs the soak with one seed: callers send requests while faults come and go; then the records are checked. */
import { setTimeout as sleep } from 'node:timers/promises';
import SOAK_GUARANTEES from './SOAK_GUARANTEES.js';
import SoakCaller from './SoakCaller.js';
import SoakWorld from './SoakWorld.js';
import type FaultClass from './FaultClass.js';
import planFaults from './planFaults.js';

interface SoakOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly nodeCount: number;
  readonly callersPerNode: number;
  readonly classes: readonly FaultClass[];
}

interface SoakOutcome {
  /** One line for each violated guarantee. */
  readonly broken: readonly string[];
  /** Number of answers by status; cut and missing answers are counted apart. */
  readonly answers: Readonly<Record<string, number>>;
  readonly faults: readonly string[];
}

/** How long callers continue after the time allowed for recovery. */
const AFTER_RECOVERY_MS = 3_000;

export default async function runSoak(options: SoakOptions): Promise<SoakOutcome> {
  const { seed, durationMs, nodeCount, callersPerNode, classes } = options;
  const world = new SoakWorld();
  const stop = new AbortController();
  try {
    await world.start(nodeCount);
    const { nodes, replicas, evidence } = world;
    const callers = nodes.flatMap((node) =>
      Array.from({ length: callersPerNode }, (_unused, index) =>
        new SoakCaller(`${seed}-${node.name}-${index}`, node, world, index % 2 === 1).run(
          stop.signal,
        ),
      ),
    );
    const replicaCount = replicas.length;
    const plan = planFaults({ seed, durationMs, nodeCount, replicaCount, classes });
    // Two series may pick the same target; a node that is down cannot be stopped or paused again.
    const activeTargets = new Set<string>();
    await Promise.all(
      plan.map(async ({ fault, atMs, forMs }) => {
        await sleep(atMs);
        const target = fault.name.split(' ').slice(0, 2).join(' ');
        if (activeTargets.has(target)) {
          return;
        }
        activeTargets.add(target);
        const revert = await fault.inject(world);
        await sleep(forMs);
        await revert();
        activeTargets.delete(target);
      }),
    );
    const faultsEndedAtMs = performance.now();
    await world.waitUntilReady();
    await sleep(SOAK_GUARANTEES.recoverMs + AFTER_RECOVERY_MS);
    const servedShare = evidence.computeServedShare(faultsEndedAtMs + SOAK_GUARANTEES.recoverMs);
    stop.abort();
    await Promise.all(callers);
    const recoveryViolations =
      servedShare < SOAK_GUARANTEES.recoveredShare
        ? [
            `share of requests served ${SOAK_GUARANTEES.recoverMs} ms after the last fault is ${servedShare.toFixed(3)}, below ${SOAK_GUARANTEES.recoveredShare}`,
          ]
        : [];
    return {
      broken: [
        ...evidence.findViolations().map((violation) => {
          const [requestId] = violation.split(' ');
          const lines = nodes.flatMap((node) => node.listLogLines(requestId));
          return [violation, ...lines].join('\n  ');
        }),
        ...nodes.flatMap(({ unexpectedExits: exits }) => exits),
        ...recoveryViolations,
      ],
      answers: evidence.countAnswers(),
      faults: plan.map(({ fault, atMs, forMs }) => `${atMs} ms: ${fault.name} for ${forMs} ms`),
    };
  } finally {
    stop.abort();
    await world.stop();
  }
}
