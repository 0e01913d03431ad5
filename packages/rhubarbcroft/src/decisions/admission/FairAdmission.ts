/**
 * Admission by floors first, then rank, then weighted fairness.
 *
 * Work that has waited for a while may call in the floor of its kind, a fraction of the capacity in
 * token equivalents, ahead of any rank; what the floors leave goes by rank, and inside a rank by
 * weighted fair service. A flood of one kind,
 * urgent or not, can so take only what is spare. Work is refused as soon as the backlog ahead of it
 * shows that its deadline cannot be met.
 */
import RANKS from '@rhubarbcroft/protocol/ranks/RANKS';
import FIRST_TOKEN_TARGET_MS from '../FIRST_TOKEN_TARGET_MS.js';
import type Work from '../Work.js';
import estimateCost from '../estimateCost.js';
import AdmissionPolicy from './AdmissionPolicy.js';
import type AdmissionVerdict from './AdmissionVerdict.js';
import DecayingSum from '../DecayingSum.js';
import KindQueue from './KindQueue.js';
import SHARE_WINDOW_MS from './SHARE_WINDOW_MS.js';
import type KindShare from './KindShare.js';

interface FairAdmissionOptions {
  readonly maxQueuedPerKind: number;
  readonly findShare: (kind: string) => KindShare;
  /** The least time that work needs once it is dispatched. */
  readonly estimateServiceMs: (work: Work) => number;
}

interface Head {
  readonly queue: KindQueue;
  readonly work: Work;
  readonly late: boolean;
  readonly rank: number;
  /** How much of its floor the kind has had, below 1 when it calls in the floor. */
  readonly need: number;
}

/** The need of work that does not call in a floor. */
const NO_NEED = 1;
/** How many windows' worth of its floor a kind may call in at once. */
const FLOOR_BURST = 2;
/** A kind that offers less than this many times its floor does not flood: chance, not load, brings it above. */
const FLOOD_RATIO = 1.6;
/** The fraction of its first-token target that work waits before it calls in its floor. */
const FLOOR_PATIENCE = 0.2;
const RATE_WINDOW_MS = 5_000;
/** Before a burst has lasted this long its rate says little: some answers of the shortest kind. */
const MIN_BUSY_MS = 250;
/**
 * How many times the time for which a rate was observed it may be extrapolated: 250 ms speak for a deadline
 * of 5 s, not for one of minutes.
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

  /** Since when something has been waiting without a break. */
  #busySinceMs = -Infinity;

  constructor(options: FairAdmissionOptions) {
    super();
    this.#options = options;
  }

  override get waiting(): number {
    return this.#list().reduce((sum, queue) => sum + queue.size, 0);
  }

  override offer(work: Work, nowMs: number): AdmissionVerdict {
    const queue = this.#resolveQueue(work);
    if (queue === undefined || queue.size >= this.#options.maxQueuedPerKind) {
      return { admitted: false, code: 'QUEUE_FULL', retryAfterMs: DEFAULT_RETRY_AFTER_MS };
    }
    if (this.waiting === 0) {
      this.#busySinceMs = nowMs;
    }
    const waitMs = this.#estimateWaitMs(queue, nowMs);
    const lateMs = nowMs + waitMs + this.#options.estimateServiceMs(work) - work.deadlineAtMs;
    if (lateMs > 0 && this.#canForesee(work.deadlineAtMs, nowMs)) {
      return { admitted: false, code: 'DEADLINE_UNREACHABLE', retryAfterMs: Math.ceil(waitMs) };
    }
    queue.add(work, this.#findLeastVirtualTime(queue), nowMs);
    return { admitted: true };
  }

  /**
   * Work that cannot run now holds back what is of a lower rank: at the endpoint the higher rank would
   * overtake it again and again, and it would wait there instead of here.
   */
  override take(nowMs: number, canRun: (work: Work) => boolean): Work | undefined {
    let blockedRank = RANKS.length;
    for (const { queue, work, need } of this.#orderHeads(nowMs)) {
      const rank = RANKS.indexOf(work.rank);
      if (rank > blockedRank) {
        return undefined;
      }
      if (canRun(work)) {
        this.#serve(queue, work, need < NO_NEED, nowMs);
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

  #serve(queue: KindQueue, work: Work, callsFloor: boolean, nowMs: number): void {
    const { findShare } = this.#options;
    const cost = estimateCost(work);
    this.#queues.forEach((other) => other.repayFloor(cost * findShare(other.kind).floor));
    queue.serve(work, findShare(queue.kind).weight, callsFloor, nowMs);
    this.#served.add(cost, nowMs);
    this.#rate.add(cost, nowMs);
  }

  #list(): readonly KindQueue[] {
    return [...this.#queues.values()];
  }

  /**
   * The next work of each queue, in the order in which it is to go: work that calls in its floor, the
   * neediest ahead, then by rank, in time before late, and by virtual time.
   */
  #orderHeads(nowMs: number): readonly Head[] {
    const total = this.#served.read(nowMs);
    const heads = this.#list().flatMap((queue) => this.#findHead(queue, total, nowMs));
    return heads.sort(
      (a, b) =>
        a.need - b.need ||
        a.rank - b.rank ||
        Number(a.late) - Number(b.late) ||
        a.queue.virtualTime - b.queue.virtualTime,
    );
  }

  /** Work that calls in its floor goes at the highest rank, at the endpoint too. */
  #findHead(queue: KindQueue, total: number, nowMs: number): readonly Head[] {
    const head = queue.findHead(nowMs);
    if (head === undefined) {
      return [];
    }
    const { late } = head;
    const rank = RANKS.indexOf(queue.rank);
    const need = this.#findNeed(queue, late, total, nowMs);
    const work = need < NO_NEED ? { ...head.work, rank: RANKS[0] } : head.work;
    return [{ queue, work, late, rank, need }];
  }

  /**
   * How much of its floor a kind has had, from 0 to 1; `NO_NEED` when it does not call in its floor.
   *
   * A kind that floods calls in its floor only while all its service is below it. One that offers about
   * its floor may call in what it saved up, so that a few requests more than usual on one node do not
   * cost it its target; work that is late already does not use up such savings.
   */
  #findNeed(queue: KindQueue, late: boolean, total: number, nowMs: number): number {
    const owed = total * this.#options.findShare(queue.kind).floor;
    const waitedMs = queue.readLongestWaitMs(nowMs);
    if (owed < MIN_KNOWN_COST || waitedMs <= FIRST_TOKEN_TARGET_MS[queue.rank] * FLOOR_PATIENCE) {
      return NO_NEED;
    }
    const below = queue.readServed(nowMs) < owed;
    const floods = queue.readOffered(nowMs) >= owed * FLOOD_RATIO;
    return below || (!floods && !late)
      ? Math.min(NO_NEED, queue.floorDebt / (owed * FLOOR_BURST))
      : NO_NEED;
  }

  #findLeastVirtualTime(queue: KindQueue): number {
    const busy = this.#list().filter((other) => other.rank === queue.rank && other.size > 0);
    return busy.length === 0 ? 0 : Math.min(...busy.map((other) => other.virtualTime));
  }

  /** The time in which the backlog that goes before this queue's next work is served. */
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

  /** Whether the rate was observed for long enough to say what is served until then. */
  #canForesee(untilMs: number, nowMs: number): boolean {
    const busyMs = nowMs - this.#busySinceMs;
    return untilMs - nowMs <= Math.max(MIN_BUSY_MS, busyMs) * MAX_EXTRAPOLATION;
  }

  /**
   * What is served in a millisecond while there is something to serve. The window counts only as far as
   * it was busy: the quiet before a burst says nothing of what the endpoints can take.
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
    if (this.#queues.size >= MAX_KIND_QUEUES && !this.#forgetIdleQueue()) {
      return undefined;
    }
    const queue = new KindQueue(work.kind, work.rank);
    this.#queues.set(key, queue);
    return queue;
  }

  #forgetIdleQueue(): boolean {
    for (const [key, queue] of this.#queues) {
      if (queue.size === 0) {
        this.#queues.delete(key);
        return true;
      }
    }
    return false;
  }
}
