/**
 * Distributes replicas over failure domains and kinds. Domains get equal numbers, so that the loss of one costs the least;
 * what is left over stays where it is, or goes to the cheaper ones. A floor of replicas that can't be reclaimed is spread
 * over domains, the rest are spot replicas. Where the platform has none, other domains get them; where it has none
 * anywhere, others are ordered instead, as many as the demand needs without a reserve.
 */
import type ScalingLimits from '../../routes/ScalingLimits.js';
import type ReplicaSupply from './ReplicaSupply.js';
import type ReplicaTarget from './ReplicaTarget.js';
import countLasting from './countLasting.js';

interface ReplicaCounts {
  /** Replicas without which the demand isn't served. */
  readonly kept: number;
  /** Replicas with the reserve for the loss of a domain. */
  readonly total: number;
}

/**
 * The share that can't be reclaimed. It serves the urgent requests, at full use, if the spot replicas of most domains are
 * reclaimed within the time that a replacement takes to boot.
 */
const REGULAR_SHARE = 0.1;

/** The counts while they are distributed. */
class Distribution {
  readonly #counts = new Map<string, number>();

  readonly #limits: ScalingLimits;

  readonly #supplies: readonly ReplicaSupply[];

  readonly #domains: readonly string[];

  constructor(limits: ScalingLimits, supplies: readonly ReplicaSupply[]) {
    const { pricesByDomain } = limits;
    this.#limits = limits;
    this.#supplies = supplies;
    this.#domains = Object.keys(pricesByDomain).sort(
      (a, b) => pricesByDomain[a] - pricesByDomain[b] || (a < b ? -1 : 1),
    );
  }

  get total(): number {
    return this.#domains.reduce((sum, domain) => sum + this.#readAll(domain), 0);
  }

  /** Adds a replica to one of the domains with the fewest. Returns whether there is one that may have it. */
  addOne(isSpot: boolean): boolean {
    const open = this.#domains.filter((domain) => this.#isOpen(domain, isSpot));
    const fewest = Math.min(...open.map((domain) => this.#readAll(domain)));
    const lowest = open.filter((domain) => this.#readAll(domain) === fewest);
    const domain = lowest.find((candidate) => this.#hasMore(candidate, isSpot)) ?? lowest.at(0);
    if (domain !== undefined) {
      this.add(domain, isSpot, 1);
    }
    return domain !== undefined;
  }

  add(domain: string, isSpot: boolean, count: number): void {
    this.#counts.set(`${domain} ${String(isSpot)}`, this.#read(domain, isSpot) + count);
  }

  /** Fills every domain up to the smallest number that may be ordered, which standing orders count for. */
  fillMinimum(): void {
    this.#domains.forEach((domain) => {
      const standing = this.#countStanding(domain);
      const lacking = Math.max(0, this.#limits.minReplicas - this.#readAll(domain) - standing);
      this.add(domain, this.#isOpen(domain, true), lacking);
    });
  }

  list(): readonly ReplicaTarget[] {
    return this.#domains.flatMap((domain) =>
      [false, true].map((isSpot) => ({ domain, isSpot, count: this.#read(domain, isSpot) })),
    );
  }

  #isOpen(domain: string, isSpot: boolean): boolean {
    const { maxReplicas, spotPriceShare } = this.#limits;
    return (
      this.#readAll(domain) < maxReplicas &&
      (!isSpot || spotPriceShare !== undefined) &&
      this.#find(domain, isSpot)?.isBlocked !== true
    );
  }

  /** Replicas that are ordered although the platform has none of them now. */
  #countStanding(domain: string): number {
    const supply = this.#find(domain, true);
    return supply?.isBlocked === true ? (supply.ordered ?? 0) - countLasting(supply) : 0;
  }

  /** Whether the domain has more of them than it was given here. */
  #hasMore(domain: string, isSpot: boolean): boolean {
    const supply = this.#find(domain, isSpot);
    return (supply?.ordered ?? supply?.ready ?? 0) > this.#read(domain, isSpot);
  }

  #find(domain: string, isSpot: boolean): ReplicaSupply | undefined {
    return this.#supplies.find((supply) => supply.domain === domain && supply.isSpot === isSpot);
  }

  #read(domain: string, isSpot: boolean): number {
    return this.#counts.get(`${domain} ${String(isSpot)}`) ?? 0;
  }

  #readAll(domain: string): number {
    return this.#read(domain, true) + this.#read(domain, false);
  }
}

export default function distributeReplicas(
  { kept, total }: ReplicaCounts,
  limits: ScalingLimits,
  supplies: readonly ReplicaSupply[],
): readonly ReplicaTarget[] {
  const distribution = new Distribution(limits, supplies);
  supplies
    .filter(({ isSpot, isBlocked }) => isSpot && isBlocked)
    .forEach((supply) => distribution.add(supply.domain, true, countLasting(supply)));
  const floor =
    limits.spotPriceShare === undefined ? 0 : Math.max(1, Math.floor(total * REGULAR_SHARE));
  for (let added = 0; added < floor && distribution.total < total; added += 1) {
    distribution.addOne(false);
  }
  let isAdded = true;
  while (isAdded && distribution.total < total) {
    isAdded = distribution.addOne(true);
  }
  isAdded = true;
  while (isAdded && distribution.total < (limits.spotPriceShare === undefined ? total : kept)) {
    isAdded = distribution.addOne(false);
  }
  distribution.fillMinimum();
  return distribution.list();
}
