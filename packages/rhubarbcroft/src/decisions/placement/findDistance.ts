/** Finds the distance between two failure domains by their regions. */
import type Distance from './Distance.js';

export default function findDistance(
  regionsByDomain: Readonly<Record<string, string>>,
  from: string,
  to: string,
): Distance {
  if (from === to) {
    return 'domain';
  }
  const region = regionsByDomain[to];
  return region !== undefined && region === regionsByDomain[from] ? 'region' : 'elsewhere';
}
