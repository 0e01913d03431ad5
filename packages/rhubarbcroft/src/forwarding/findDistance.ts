/** How far a failure domain is from this node's own, by the regions that they belong to. */
interface Place {
  readonly domain: string;
  readonly regionsByDomain: Readonly<Record<string, string>>;
}

export default function findDistance(
  own: Place,
  domain: string,
): 'domain' | 'region' | 'elsewhere' {
  if (domain === own.domain) {
    return 'domain';
  }
  const region = own.regionsByDomain[domain];
  return region !== undefined && region === own.regionsByDomain[own.domain]
    ? 'region'
    : 'elsewhere';
}
