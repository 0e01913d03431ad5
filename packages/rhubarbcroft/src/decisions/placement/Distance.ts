/** The distance between two failure domains: the same domain, two domains of one region, or two regions. */
type Distance = 'domain' | 'region' | 'elsewhere';

export default Distance;
