/** Summarises a replay: goodput, service by kind, latencies, role changes. */
import { build } from 'hdr-histogram-js';
import type Replay from './Replay.js';
import type SimulatedRequest from './SimulatedRequest.js';
import type Trace from './Trace.js';
import computeEngineSeconds from './computeEngineSeconds.js';

interface KindSummary {
  readonly asked: number;
  readonly inTarget: number;
  readonly refused: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  readonly betweenTokensP95Ms: number;
}

interface Summary {
  /** Engine seconds of the requests in target. */
  readonly goodput: number;
  /** Requests in target, weighted by the worth of their kind. */
  readonly service: number;
  readonly roleChanges: number;
  /** Role changes that were reverted within a minute. */
  readonly undoneChanges: number;
  readonly kinds: Readonly<Record<string, KindSummary>>;
  /** Share of requests in target by kind during the flood; empty if the trace has none. */
  readonly duringFlood: Readonly<Record<string, number>>;
}

const REVERT_WINDOW_MS = 60_000;
const MAX_MS = 3_600_000;

function computePercentile(values: readonly number[], percentile: number): number {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_MS });
  values
    .filter((value) => Number.isFinite(value))
    .forEach((value) => histogram.recordValue(Math.round(value)));
  return values.length === 0 ? 0 : histogram.getValueAtPercentile(percentile);
}

function summariseKind(requests: readonly SimulatedRequest[]): KindSummary {
  const answered = requests.filter((request) => request.isComplete);
  const firstTokensMs = answered.map((request) => request.firstTokenMs);
  return {
    asked: requests.length,
    inTarget: requests.filter((request) => request.inTarget).length / Math.max(1, requests.length),
    refused: requests.filter((request) => request.refused).length / Math.max(1, requests.length),
    firstTokenP50Ms: computePercentile(firstTokensMs, 50),
    firstTokenP95Ms: computePercentile(firstTokensMs, 95),
    betweenTokensP95Ms: computePercentile(
      answered.map((request) => request.betweenTokensMs),
      95,
    ),
  };
}

function countRevertedChanges(changes: Replay['roleChanges']): number {
  return changes.filter((change) =>
    changes.some(
      (later) =>
        later.engineId === change.engineId &&
        later.atMs > change.atMs &&
        later.atMs - change.atMs < REVERT_WINDOW_MS &&
        later.to === change.from,
    ),
  ).length;
}

export default function summarise(trace: Trace, replay: Replay): Summary {
  const { requests, roleChanges } = replay;
  const inTarget = requests.filter((request) => request.inTarget);
  const { flood } = trace;
  const inFlood = (request: SimulatedRequest): boolean =>
    flood !== undefined &&
    request.source.atMs >= flood.fromMs &&
    request.source.atMs < flood.untilMs;
  const byKind = (kind: string): readonly SimulatedRequest[] =>
    requests.filter((request) => request.kind.name === kind);
  return {
    goodput: inTarget.reduce((sum, request) => sum + computeEngineSeconds(request.source), 0),
    service: inTarget.reduce((sum, request) => sum + request.kind.worth, 0),
    roleChanges: roleChanges.length,
    undoneChanges: countRevertedChanges(roleChanges),
    kinds: Object.fromEntries(trace.kinds.map(({ name }) => [name, summariseKind(byKind(name))])),
    duringFlood:
      flood === undefined
        ? {}
        : Object.fromEntries(
            trace.kinds.map(({ name }) => [
              name,
              summariseKind(byKind(name).filter(inFlood)).inTarget,
            ]),
          ),
  };
}
