/**
 * Plans replicas by the demand of the last swing, mostly on spot places. Answers demand that swings faster than replicas
 * boot, and platforms that reclaim all spot replicas of a failure domain at once.
 *
 * - There are enough replicas to serve the demand without the domain that has the most.
 * - More are ordered at once. Fewer are ordered only as far as the rest that is ready suffices, and not while the platform
 *   lacks replicas somewhere: replacements of another kind or domain boot first. The most expensive go first.
 */
import type ScalingLimits from '../../routes/ScalingLimits.js';
import NeedTracker from './NeedTracker.js';
import type ReplicaSupply from './ReplicaSupply.js';
import type ReplicaTarget from './ReplicaTarget.js';
import type ScalingPlan from './ScalingPlan.js';
import ScalingPlanner from './ScalingPlanner.js';
import type ScalingView from './ScalingView.js';
import addReserve from './addReserve.js';
import countLasting from './countLasting.js';
import distributeReplicas from './distributeReplicas.js';

/** Time from a plan until its order is accepted, in addition to the boot. */
const ORDER_MS = 1_500;
/** The largest share of the replicas that is given back by one plan under load, so that cached parts are copied in time. */
const MAX_RETURNED_SHARE = 0.25;
/** How long there must be more than needed before some are given back: registrations are up to a second old. */
const SPARE_MS = 1_000;

/** How much may be given back now. */
interface Allowance {
  readonly limits: ScalingLimits;
  readonly supplies: readonly ReplicaSupply[];
  readonly returnable: number;
}

export default class SpotScalingPlanner extends ScalingPlanner {
  readonly #tracker = new NeedTracker();

  #spareSinceMs: number | undefined;

  override plan({ nowMs, limits, need, supplies }: ScalingView): ScalingPlan {
    const domains = Object.keys(limits.pricesByDomain).length;
    const lasting = supplies.reduce((sum, supply) => sum + countLasting(supply), 0);
    const hasReserve = limits.spotPriceShare !== undefined && domains > 1;
    const aheadMs = limits.bootMs + ORDER_MS;
    const regular = supplies
      .filter(({ isSpot }) => !isSpot)
      .reduce((sum, supply) => sum + countLasting(supply), 0);
    const withoutReserve = (count: number): number =>
      hasReserve ? count - Math.ceil(count / domains) : count;
    const circumstances = {
      present: withoutReserve(lasting),
      regular: withoutReserve(regular),
      aheadMs,
    };
    const kept = this.#tracker.update(need, circumstances, nowMs);
    const total = hasReserve ? addReserve(kept, domains) : kept;
    const wanted = distributeReplicas({ kept, total }, limits, supplies);
    const wantedTotal = wanted.reduce((sum, { count }) => sum + count, 0);
    const mayReturn = this.#mayReturn(lasting > wantedTotal, supplies, nowMs);
    const maxReturned = need === 0 ? Infinity : Math.ceil(wantedTotal * MAX_RETURNED_SHARE);
    const returnable = mayReturn ? Math.min(lasting - wantedTotal, maxReturned) : 0;
    const targets = SpotScalingPlanner.#limitChanges(wanted, { limits, supplies, returnable });
    return { kept, total: wantedTotal, targets };
  }

  #mayReturn(hasSpare: boolean, supplies: readonly ReplicaSupply[], nowMs: number): boolean {
    if (!hasSpare || supplies.some(({ isBlocked }) => isBlocked)) {
      this.#spareSinceMs = undefined;
      return false;
    }
    this.#spareSinceMs ??= nowMs;
    return nowMs - this.#spareSinceMs >= SPARE_MS;
  }

  static #limitChanges(
    wanted: readonly ReplicaTarget[],
    { limits, supplies, returnable }: Allowance,
  ): readonly ReplicaTarget[] {
    const { minReplicas, maxReplicas, pricesByDomain, spotPriceShare = 1 } = limits;
    const readPrice = ({ domain, isSpot }: ReplicaTarget): number =>
      pricesByDomain[domain] * (isSpot ? spotPriceShare : 1);
    const find = (domain: string, isSpot: boolean): ReplicaSupply | undefined =>
      supplies.find((supply) => supply.domain === domain && supply.isSpot === isSpot);
    const readCurrent = (supply: ReplicaSupply | undefined): number =>
      supply?.ordered ?? supply?.ready ?? 0;
    let left = returnable;
    return [...wanted]
      .sort((a, b) => readPrice(b) - readPrice(a))
      .map(({ domain, isSpot, count }) => {
        const supply = find(domain, isSpot);
        const other = find(domain, !isSpot);
        const current = readCurrent(supply);
        if (supply?.isBlocked === true) {
          return { domain, isSpot, count: current };
        }
        if (count >= current) {
          const room = maxReplicas - readCurrent(other);
          return { domain, isSpot, count: Math.max(current, Math.min(count, room)) };
        }
        const lowest = Math.max(count, minReplicas - (other ? countLasting(other) : 0));
        const returned = Math.max(0, Math.min(current - lowest, left));
        left -= returned;
        return { domain, isSpot, count: current - returned };
      });
  }
}
