/**
 * Measures the cost of the control plane and fits lines through it: one failure domain with real daemons,
 * the remaining parts in isolation. Prints JSON lines, then the table that docs/CAPACITY.md quotes.
 * `--quick` measures fewer sizes.
 */
import { parseArgs } from 'node:util';
import measureDomain from './control/measureDomain.js';
import measureParts from './control/measureParts.js';
import fitLine from './support/fitLine.js';

const { values: options } = parseArgs({ options: { quick: { type: 'boolean', default: false } } });
const NODES = options.quick ? [1, 4] : [1, 2, 4, 8, 16, 24];
const REPLICAS = options.quick ? [4] : [8, 24, 71];
const BASE_REPLICAS = 8;
const BASE_NODES = 8;

function printLine(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}

const parts = measureParts();
parts.forEach(printLine);
const byNodes = [];
for (const nodes of NODES) {
  byNodes.push(await measureDomain(nodes, BASE_REPLICAS));
  printLine(byNodes.at(-1));
}
const byReplicas = [];
for (const replicas of REPLICAS) {
  byReplicas.push(await measureDomain(options.quick ? 2 : BASE_NODES, replicas));
  printLine(byReplicas.at(-1));
}

process.stdout.write('\nmeasure                       by          slope         intercept\n');
const measures = [
  'corePercent',
  'rssMb',
  'sentBytesPerS',
  'receivedBytesPerS',
  'tableReadsPerS',
] as const;
for (const measure of measures) {
  const nodeFit = fitLine(byNodes.map((cost) => [cost.nodes, cost[measure]] as const));
  const replicaFit = fitLine(byReplicas.map((cost) => [cost.replicas, cost[measure]] as const));
  process.stdout.write(
    `${measure.padEnd(30)}node        ${nodeFit.slope.toFixed(4).padEnd(14)}${nodeFit.intercept.toFixed(3)}\n`,
  );
  process.stdout.write(
    `${measure.padEnd(30)}replica     ${replicaFit.slope.toFixed(4).padEnd(14)}${replicaFit.intercept.toFixed(3)}\n`,
  );
}
for (const part of [...new Set(parts.map((each) => each.part))]) {
  const points = parts.filter((each) => each.part === part);
  const heap = fitLine(points.map((each) => [each.size, each.heapBytes ?? 0] as const));
  const time = fitLine(points.map((each) => [each.size, each.usPerStep ?? 0] as const));
  process.stdout.write(
    `${part.padEnd(30)}item        ${heap.slope.toFixed(1)} B, ${time.slope.toFixed(4)} us; ${time.intercept.toFixed(2)} us at 0\n`,
  );
}
