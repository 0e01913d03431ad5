/**
 * Compares the endpoints of one service: how many times longer work takes at each than at the usual one. A reported
 * pace counts as it is; a measured one is divided by the median of the service's endpoints, so that an error of the
 * estimates common to all cancels out. Endpoints that are about alike have the pace 1.
 *
 * Load: replicas that differ by factors of two to three for good, and spells of 2.5 times the usual time for 600 ms.
 */
import type EndpointPace from './EndpointPace.js';
import type PaceMeasure from './PaceMeasure.js';

/** A measured difference below this factor can come from the mix of requests. */
const MIN_RATIO = { reported: 1.05, step: 1.35, prefill: 1.5, service: 1.7 } as const;
/** Bounds of a pace: beyond them an error is more likely than a difference between replicas. */
const MIN_PACE = 0.4;
const MAX_PACE = 4;
/** The fewest endpoints whose median is a comparison. */
const MIN_COMPARED = 3;

function findMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor((values.length - 1) / 2)];
}

function limitPace(pace: number, minRatio: number): number {
  return pace < minRatio && pace > 1 / minRatio ? 1 : Math.min(MAX_PACE, Math.max(MIN_PACE, pace));
}

/** The paces by one measure, in the order of the endpoints. */
function compare(
  paces: readonly EndpointPace[],
  measure: PaceMeasure,
  nowMs: number,
): readonly (number | undefined)[] {
  const values = paces.map((pace) => pace.read(measure, nowMs));
  const known = values.filter((value) => value !== undefined);
  if (measure !== 'reported' && known.length < MIN_COMPARED) {
    return [];
  }
  const usual = measure === 'reported' ? 1 : findMedian(known);
  return values.map((value) =>
    value === undefined ? undefined : limitPace(value / usual, MIN_RATIO[measure]),
  );
}

export default function resolvePaces(
  paces: readonly EndpointPace[],
  nowMs: number,
): readonly number[] {
  const measures: readonly PaceMeasure[] = ['reported', ...(paces[0]?.measures ?? [])];
  const compared = measures.map((measure) => compare(paces, measure, nowMs));
  return paces.map(
    (_pace, index) =>
      compared.map((values) => values[index]).find((value) => value !== undefined) ?? 1,
  );
}
