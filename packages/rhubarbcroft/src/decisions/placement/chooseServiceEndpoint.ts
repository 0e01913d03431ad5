/**
 * Chooses the endpoint of a plain call by the lowest load, in the time that the calls take there. Distance and recent failures count as additional
 * load, so near endpoints are preferred until they are nearly full.
 */
import type ServiceCandidate from './ServiceCandidate.js';

/**
 * The load that a distance counts as, in shares of an endpoint's slots: another region is used once the near
 * endpoints are four fifths full.
 */
const DISTANCE_LOAD = { domain: 0, region: 0.4, elsewhere: 0.8 } as const;
/** The load that a certain failure counts as, in shares of an endpoint's slots. */
const FAILURE_LOAD = 4;

function scoreLoad(candidate: ServiceCandidate): number {
  // A call counts as long as it takes, this one included.
  const calls = (candidate.running + 1) * candidate.pace - 1;
  const load = calls / Math.max(1, candidate.slots);
  return load + DISTANCE_LOAD[candidate.distance] + candidate.failureShare * FAILURE_LOAD;
}

export default function chooseServiceEndpoint(
  candidates: readonly ServiceCandidate[],
): ServiceCandidate | undefined {
  let best: ServiceCandidate | undefined;
  candidates.forEach((candidate) => {
    best = best === undefined || scoreLoad(candidate) < scoreLoad(best) ? candidate : best;
  });
  return best;
}
