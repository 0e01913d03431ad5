/**
 * Chooses the endpoint of a plain call: near ones first while they have a free slot, then the least
 * loaded; an endpoint that has failed lately counts as more loaded.
 */
import type ServiceCandidate from './ServiceCandidate.js';

/** What distance counts for, in shares of an endpoint's slots: another region is used from four fifths full. */
const DISTANCE_LOAD = { domain: 0, region: 0.4, elsewhere: 0.8 } as const;
/** What a certain failure counts for, in shares of an endpoint's slots. */
const FAILURE_LOAD = 4;

function rate(candidate: ServiceCandidate): number {
  const load = candidate.running / Math.max(1, candidate.slots);
  return load + DISTANCE_LOAD[candidate.distance] + candidate.failureShare * FAILURE_LOAD;
}

export default function chooseServiceEndpoint(
  candidates: readonly ServiceCandidate[],
): ServiceCandidate | undefined {
  let best: ServiceCandidate | undefined;
  candidates.forEach((candidate) => {
    best = best === undefined || rate(candidate) < rate(best) ? candidate : best;
  });
  return best;
}
