/**
 * The queue of one rank and kind, with the service that it has received.
 *
 * Requests that can still meet their first-token target are served before late ones. While none is late the
 * queue is FIFO. Once one is late, which indicates an overload, the newest on-time request is served first:
 * the oldest would only just miss its target, and in FIFO order an overload would make every request late.
 */
import type Rank from '@rhubarbcroft/protocol/ranks/Rank';
import DecayingSum from '../DecayingSum.js';
import FIRST_TOKEN_TARGET_MS from '../FIRST_TOKEN_TARGET_MS.js';
import type Work from '../Work.js';
import estimateCost from '../estimateCost.js';
import SHARE_WINDOW_MS from './SHARE_WINDOW_MS.js';

interface QueueHead {
  readonly work: Work;
  readonly late: boolean;
}

const MAX_ARRIVALS = 2_048;
const PREFILL_MS_PER_TOKEN = 0.08;
/** The fraction of the first-token target reserved for dispatch, queueing at the endpoint and the first step. */
const DISPATCH_MARGIN = 0.3;

function isLate(work: Work, nowMs: number): boolean {
  const targetMs = FIRST_TOKEN_TARGET_MS[work.rank];
  const neededMs = work.promptTokens * PREFILL_MS_PER_TOKEN + targetMs * DISPATCH_MARGIN;
  return nowMs + neededMs > work.arrivedAtMs + targetMs;
}

export default class KindQueue {
  readonly kind: string;

  readonly rank: Rank;

  readonly #served = new DecayingSum(SHARE_WINDOW_MS);

  readonly #offered = new DecayingSum(SHARE_WINDOW_MS);

  readonly #onTime = new Map<string, Work>();

  readonly #late = new Map<string, Work>();

  /** Requests in order of arrival, to find the newest; may contain requests that were removed or are late. */
  #arrivals: Work[] = [];

  #virtualTime = 0;

  #backlogCost = 0;

  #floorDebt = 0;

  constructor(kind: string, rank: Rank) {
    this.kind = kind;
    this.rank = rank;
  }

  get size(): number {
    return this.#onTime.size + this.#late.size;
  }

  /** The cost of all queued requests, in output-token equivalents. */
  get backlogCost(): number {
    return this.#backlogCost;
  }

  /** The service received, divided by the weight; the queue with the lowest value of a rank is served next. */
  get virtualTime(): number {
    return this.#virtualTime;
  }

  /** The request to serve next, if any is queued. */
  findHead(nowMs: number): QueueHead | undefined {
    this.#demoteLate(nowMs);
    const onTime = this.#late.size > 0 ? this.#findNewest() : this.#findOldest();
    if (onTime !== undefined) {
      return { work: onTime, late: false };
    }
    const [oldest] = this.#late.values();
    return oldest === undefined ? undefined : { work: oldest, late: true };
  }

  #demoteLate(nowMs: number): void {
    for (const work of this.#onTime.values()) {
      if (!isLate(work, nowMs)) {
        return;
      }
      this.#onTime.delete(work.requestId);
      this.#late.set(work.requestId, work);
    }
  }

  #findOldest(): Work | undefined {
    const [oldest] = this.#onTime.values();
    return oldest;
  }

  /** The newest on-time request. Removes arrivals that are not on time or no longer queued along the way. */
  #findNewest(): Work | undefined {
    let newest = this.#arrivals.at(-1);
    while (newest !== undefined && !this.#onTime.has(newest.requestId)) {
      this.#arrivals.pop();
      newest = this.#arrivals.at(-1);
    }
    return newest;
  }

  /** How long the oldest request has waited; the one served next may be newer. */
  readLongestWaitMs(nowMs: number): number {
    const [oldest] = this.#late.size > 0 ? this.#late.values() : this.#onTime.values();
    return oldest === undefined ? 0 : nowMs - oldest.arrivedAtMs;
  }

  list(): readonly Work[] {
    return [...this.#late.values(), ...this.#onTime.values()];
  }

  /** The cost served through the floor that later service has not repaid yet. */
  get floorDebt(): number {
    return this.#floorDebt;
  }

  /** The cost of the requests offered recently, decaying over SHARE_WINDOW_MS. */
  readOfferedCost(nowMs: number): number {
    return this.#offered.read(nowMs);
  }

  /** The cost of the requests dispatched recently, decaying over SHARE_WINDOW_MS. */
  readServedCost(nowMs: number): number {
    return this.#served.read(nowMs);
  }

  repayFloorDebt(cost: number): void {
    this.#floorDebt = Math.max(0, this.#floorDebt - cost);
  }

  /** Queues a request; an empty queue first loses the credit from its idle time. */
  add(work: Work, lowestVirtualTime: number, nowMs: number): void {
    this.#offered.add(estimateCost(work), nowMs);
    if (this.size === 0) {
      this.#virtualTime = Math.max(this.#virtualTime, lowestVirtualTime);
    }
    this.#onTime.set(work.requestId, work);
    this.#arrivals =
      this.#arrivals.length > 2 * MAX_ARRIVALS
        ? this.#arrivals.slice(-MAX_ARRIVALS)
        : this.#arrivals;
    this.#arrivals.push(work);
    this.#backlogCost += estimateCost(work);
  }

  remove(requestId: string): void {
    const work = this.#onTime.get(requestId) ?? this.#late.get(requestId);
    if (work === undefined) {
      return;
    }
    this.#onTime.delete(requestId);
    this.#late.delete(requestId);
    this.#backlogCost = this.size === 0 ? 0 : this.#backlogCost - estimateCost(work);
  }

  /** Removes a request that is dispatched and accounts for its cost. */
  serve(work: Work, weight: number, usesFloor: boolean, nowMs: number): void {
    const cost = estimateCost(work);
    this.remove(work.requestId);
    this.#served.add(cost, nowMs);
    this.#floorDebt += usesFloor ? cost : 0;
    this.#virtualTime += cost / weight;
  }
}
