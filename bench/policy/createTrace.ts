/** Generates a trace from its specification and seed; the same seed gives the same trace. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type Trace from './Trace.js';
import type TraceRequest from './TraceRequest.js';
import type traceSpecs from './traceSpecs.js';

type TraceSpec = (typeof traceSpecs)[number];
type Phase = TraceSpec['phases'][number];
type KindSpec = TraceSpec['kinds'][number];

const MS_PER_S = 1_000;
const PIECE_TOKENS = 2_000;
const CONVERSATIONS = 60;

function drawBetween([low, high]: readonly [number, number], random: RandomGenerator): number {
  return low + uniformFloat64(random) * (high - low);
}

function drawRequest(
  kind: KindSpec,
  phase: Phase,
  spec: TraceSpec,
  atMs: number,
  random: RandomGenerator,
): TraceRequest {
  const promptTokens = Math.round(
    drawBetween(kind.promptTokens, random) * (phase.promptScale ?? 1),
  );
  const outputTokens = Math.round(
    drawBetween(kind.outputTokens, random) * (phase.outputScale ?? 1),
  );
  const inConversation = uniformFloat64(random) < (spec.conversationShare ?? 0);
  const conversation = inConversation ? 1 + Math.floor(uniformFloat64(random) * CONVERSATIONS) : 0;
  const pieces = Math.floor(promptTokens / PIECE_TOKENS);
  return {
    atMs: Math.round(atMs),
    kind: kind.name,
    promptTokens: Math.max(1, promptTokens),
    outputTokens: Math.max(2, outputTokens),
    conversation,
    sharedPieces: inConversation ? Math.floor(pieces * 0.8) : 0,
  };
}

function drawPhase(
  phase: Phase,
  startMs: number,
  spec: TraceSpec,
  random: RandomGenerator,
): readonly TraceRequest[] {
  const durationMs = phase.durationS * MS_PER_S;
  return spec.kinds.flatMap((kind) => {
    const [from, to] = (phase.rates[kind.name] ?? [0, 0]).map((rate) => rate * spec.rateScale);
    const requests: TraceRequest[] = [];
    let atMs = 0;
    while (atMs < durationMs && from + to > 0) {
      const rate = Math.max(0.01, from + ((to - from) * atMs) / durationMs);
      atMs += (-Math.log(1 - uniformFloat64(random)) / rate) * MS_PER_S;
      if (atMs < durationMs) {
        requests.push(drawRequest(kind, phase, spec, startMs + atMs, random));
      }
    }
    return requests;
  });
}

export default function createTrace(spec: TraceSpec): Trace {
  const random = xoroshiro128plus(spec.seed);
  let startMs = 0;
  const requests: TraceRequest[] = [];
  for (const phase of spec.phases) {
    requests.push(...drawPhase(phase, startMs, spec, random));
    startMs += phase.durationS * MS_PER_S;
  }
  return {
    name: spec.name,
    engines: spec.engines,
    nodes: spec.nodes,
    durationMs: startMs,
    kinds: spec.kinds.map(({ promptTokens, outputTokens, ...kind }) => kind),
    requests: requests.sort((a, b) => a.atMs - b.atMs),
    withdrawals: spec.withdrawals ?? [],
    ...(spec.flood === undefined ? {} : { flood: spec.flood }),
  };
}
