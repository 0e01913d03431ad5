/**
 * Admission by floors first, then rank, then weighted fairness.
 *
 * The floor of a kind is a guaranteed fraction of the capacity, in token equivalents. Once its requests have
 * waited for a while, a kind may use its floor, ahead of every rank. The remaining capacity is given out by
 * rank, and inside a rank by weighted fair queueing. A flood of one kind, urgent or not, therefore gets only
 * spare capacity. A request is refused as soon as the backlog ahead of it shows that it cannot meet its
 * deadline.
 */
import RANKS from '@rhubarbcroft/protocol/ranks/RANKS';
import FIRST_TOKEN_TARGET_MS from '../FIRST_TOKEN_TARGET_MS.js';
import type Work from '../Work.js';
import estimateCost from '../estimateCost.js';
import AdmissionPolicy from './AdmissionPolicy.js';
import type AdmissionResult from './AdmissionResult.js';
import DecayingSum from '../DecayingSum.js';
import KindQueue from './KindQueue.js';
import SHARE_WINDOW_MS from './SHARE_WINDOW_MS.js';
import type KindShare from './KindShare.js';

interface FairAdmissionOptions {
  readonly maxQueuedPerKind: number;
  readonly findShare: (kind: string) => KindShare;
  /** The minimum time that a request needs once it is dispatched, in milliseconds. */
  readonly estimateServiceMs: (work: Work) => number;
}

interface Candidate {
  readonly queue: KindQueue;
  readonly work: Work;
  readonly late: boolean;
  readonly rank: number;
  /** The used share of the kind's floor; below 1 if the request may use the floor. */
  readonly floorUsage: number;
}

/** The floor usage of a request that may not use its kind's floor. */
const FLOOR_USED_UP = 1;
/** How many windows of its floor a kind may use at once. */
const FLOOR_BURST = 2;
/** A kind floods from this multiple of its floor on; an offered load slightly above the floor may be chance. */
const FLOOD_RATIO = 1.6;
/** The fraction of the first-token target that a request waits before its kind may use the floor. */
const FLOOR_WAIT_FRACTION = 0.2;
const RATE_WINDOW_MS = 5_000;
/** The minimum duration of a busy period before its rate is used: a few answers of the shortest kind. */
const MIN_BUSY_MS = 250;
/**
 * How far a rate may be extrapolated, as a multiple of the time over which it was observed: 250 ms allow a
 * prediction for a deadline in 5 s, but not for one in minutes.
 */
const MAX_EXTRAPOLATION = 20;
const MAX_KIND_QUEUES = 512;
const MIN_KNOWN_COST = 1;
const DEFAULT_RETRY_AFTER_MS = 1_000;

export default class FairAdmission extends AdmissionPolicy {
  readonly #options: FairAdmissionOptions;

  readonly #queues = new Map<string, KindQueue>();

  readonly #served = new DecayingSum(SHARE_WINDOW_MS);

  readonly #rate = new DecayingSum(RATE_WINDOW_MS);

  /** The start of the current busy period, during which at least one request has been queued. */
  #busySinceMs = -Infinity;

  constructor(options: FairAdmissionOptions) {
    super();
    this.#options = options;
  }

  override get waiting(): number {
    return this.#list().reduce((sum, queue) => sum + queue.size, 0);
  }

  override offer(work: Work, nowMs: number): AdmissionResult {
    const queue = this.#resolveQueue(work);
    if (queue === undefined || queue.size >= this.#options.maxQueuedPerKind) {
      return { admitted: false, code: 'QUEUE_FULL', retryAfterMs: DEFAULT_RETRY_AFTER_MS };
    }
    if (this.waiting === 0) {
      this.#busySinceMs = nowMs;
    }
    const waitMs = this.#estimateWaitMs(queue, nowMs);
    const lateMs = nowMs + waitMs + this.#options.estimateServiceMs(work) - work.deadlineAtMs;
    if (lateMs > 0 && this.#canPredict(work.deadlineAtMs, nowMs)) {
      return { admitted: false, code: 'DEADLINE_UNREACHABLE', retryAfterMs: Math.ceil(waitMs) };
    }
    queue.add(work, this.#findLowestVirtualTime(queue), nowMs);
    return { admitted: true };
  }

  /**
   * A request that cannot run now blocks requests of lower ranks: if they were dispatched, requests of the
   * higher rank would keep overtaking them at the endpoint, and they would wait there instead of in this queue.
   */
  override take(nowMs: number, canRun: (work: Work) => boolean): Work | undefined {
    let blockedRank = RANKS.length;
    for (const { queue, work, floorUsage } of this.#orderCandidates(nowMs)) {
      const rank = RANKS.indexOf(work.rank);
      if (rank > blockedRank) {
        return undefined;
      }
      if (canRun(work)) {
        this.#serve(queue, work, floorUsage < FLOOR_USED_UP, nowMs);
        return work;
      }
      blockedRank = rank;
    }
    return undefined;
  }

  override withdraw(requestId: string): void {
    this.#queues.forEach((queue) => queue.remove(requestId));
  }

  override expire(nowMs: number): readonly Work[] {
    const { estimateServiceMs } = this.#options;
    return this.#list().flatMap((queue) => {
      const late = queue
        .list()
        .filter((work) => nowMs + estimateServiceMs(work) > work.deadlineAtMs);
      late.forEach((work) => queue.remove(work.requestId));
      return late;
    });
  }

  #serve(queue: KindQueue, work: Work, usesFloor: boolean, nowMs: number): void {
    const { findShare } = this.#options;
    const cost = estimateCost(work);
    this.#queues.forEach((other) => other.repayFloorDebt(cost * findShare(other.kind).floor));
    queue.serve(work, findShare(queue.kind).weight, usesFloor, nowMs);
    this.#served.add(cost, nowMs);
    this.#rate.add(cost, nowMs);
  }

  #list(): readonly KindQueue[] {
    return [...this.#queues.values()];
  }

  /**
   * The next request of each queue, in dispatch order: first those that may use a floor, by the lowest floor
   * usage, then by rank, on-time before late ones, and by virtual time.
   */
  #orderCandidates(nowMs: number): readonly Candidate[] {
    const total = this.#served.read(nowMs);
    const candidates = this.#list().flatMap((queue) => this.#findCandidate(queue, total, nowMs));
    return candidates.sort(
      (a, b) =>
        a.floorUsage - b.floorUsage ||
        a.rank - b.rank ||
        Number(a.late) - Number(b.late) ||
        a.queue.virtualTime - b.queue.virtualTime,
    );
  }

  /** The next request of a queue, if any. One that uses its floor also runs at the highest rank at the endpoint. */
  #findCandidate(queue: KindQueue, total: number, nowMs: number): readonly Candidate[] {
    const head = queue.findHead(nowMs);
    if (head === undefined) {
      return [];
    }
    const { late } = head;
    const rank = RANKS.indexOf(queue.rank);
    const floorUsage = this.#readFloorUsage(queue, late, total, nowMs);
    const work = floorUsage < FLOOR_USED_UP ? { ...head.work, rank: RANKS[0] } : head.work;
    return [{ queue, work, late, rank, floorUsage }];
  }

  /**
   * The used share of a kind's floor, from 0 to 1; `FLOOR_USED_UP` if the kind may not use its floor.
   *
   * A kind that floods may use its floor only while its total service is below the floor. A kind that offers
   * about its floor may also use the allowance that it has accumulated, so that a few requests more than usual
   * on one node still meet their target; late requests do not use up this allowance.
   */
  #readFloorUsage(queue: KindQueue, late: boolean, total: number, nowMs: number): number {
    const floorCost = total * this.#options.findShare(queue.kind).floor;
    const waitedMs = queue.readLongestWaitMs(nowMs);
    if (
      floorCost < MIN_KNOWN_COST ||
      waitedMs <= FIRST_TOKEN_TARGET_MS[queue.rank] * FLOOR_WAIT_FRACTION
    ) {
      return FLOOR_USED_UP;
    }
    const isBelowFloor = queue.readServedCost(nowMs) < floorCost;
    const isFlooding = queue.readOfferedCost(nowMs) >= floorCost * FLOOD_RATIO;
    return isBelowFloor || (!isFlooding && !late)
      ? Math.min(FLOOR_USED_UP, queue.floorDebt / (floorCost * FLOOR_BURST))
      : FLOOR_USED_UP;
  }

  #findLowestVirtualTime(queue: KindQueue): number {
    const busy = this.#list().filter((other) => other.rank === queue.rank && other.size > 0);
    return busy.length === 0 ? 0 : Math.min(...busy.map((other) => other.virtualTime));
  }

  /** The estimated time to serve the backlog ahead of a new request in this queue, in milliseconds; 0 if unknown. */
  #estimateWaitMs(queue: KindQueue, nowMs: number): number {
    const { floor } = this.#options.findShare(queue.kind);
    const ratePerMs = this.#estimateRatePerMs(nowMs);
    if (ratePerMs === undefined) {
      return 0;
    }
    const rank = RANKS.indexOf(queue.rank);
    const ahead = this.#list()
      .filter((other) => RANKS.indexOf(other.rank) <= rank)
      .reduce((sum, other) => sum + other.backlogCost, 0);
    const byRankMs = ahead / ratePerMs;
    const byFloorMs = floor > 0 ? queue.backlogCost / (ratePerMs * floor) : Infinity;
    return Math.min(byRankMs, byFloorMs);
  }

  /** Whether the rate was observed for long enough to predict the service until the given time. */
  #canPredict(untilMs: number, nowMs: number): boolean {
    const busyMs = nowMs - this.#busySinceMs;
    return untilMs - nowMs <= Math.max(MIN_BUSY_MS, busyMs) * MAX_EXTRAPOLATION;
  }

  /**
   * The cost served per millisecond while requests are queued. Only the busy part of the window counts: the
   * idle time before a burst does not show the capacity of the endpoints.
   */
  #estimateRatePerMs(nowMs: number): number | undefined {
    const busyMs = nowMs - this.#busySinceMs;
    const served = this.#rate.read(nowMs);
    if (busyMs < MIN_BUSY_MS || served <= 0) {
      return undefined;
    }
    return served / (RATE_WINDOW_MS * (1 - Math.exp(-busyMs / RATE_WINDOW_MS)));
  }

  #resolveQueue(work: Work): KindQueue | undefined {
    const key = `${work.rank}\n${work.kind}`;
    const known = this.#queues.get(key);
    if (known !== undefined) {
      return known;
    }
    if (this.#queues.size >= MAX_KIND_QUEUES && !this.#evictIdleQueue()) {
      return undefined;
    }
    const queue = new KindQueue(work.kind, work.rank);
    this.#queues.set(key, queue);
    return queue;
  }

  #evictIdleQueue(): boolean {
    for (const [key, queue] of this.#queues) {
      if (queue.size === 0) {
        this.#queues.delete(key);
        return true;
      }
    }
    return false;
  }
}
