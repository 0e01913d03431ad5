/** Limits and prices of a service whose replicas are ordered by need. Counts are by failure domain. */
interface ScalingLimits {
  readonly minReplicas: number;
  readonly maxReplicas: number;
  /** Time from an accepted order until a new replica serves. */
  readonly bootMs: number;
  /** Price of a spot replica as a share of the domain's price; undefined when there are none. */
  readonly spotPriceShare: number | undefined;
  /** Price of a second of a replica, by failure domain. */
  readonly pricesByDomain: Readonly<Record<string, number>>;
}

export default ScalingLimits;
