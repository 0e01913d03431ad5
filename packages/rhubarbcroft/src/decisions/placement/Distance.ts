/** How far two failure domains are from each other: the same, of one region, or of two. */
type Distance = 'domain' | 'region' | 'elsewhere';

export default Distance;
