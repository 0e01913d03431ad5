/**
 * Remembers the orders for a service's replicas: which count was accepted last for each failure domain and kind, which
 * order must be repeated exactly because its answer was lost, and where the platform has none to give. Answers a platform
 * that is slow, drops answers, or is out of replicas for a while.
 */
import type DutyOutcome from '../../duties/DutyOutcome.js';
import type DutyRight from '../../duties/DutyRight.js';
import type ReplicaTarget from './ReplicaTarget.js';

interface OrderState {
  /** The last accepted count. */
  readonly ordered: number | undefined;
  readonly orderedAtMs: number;
  /** A count whose acceptance is unknown. */
  readonly pending: number | undefined;
  /** Until when the platform is assumed to have none. */
  readonly blockedUntilMs: number;
  readonly reclaimedUntilMs: number;
  /** Until when no order is sent, because the platform's rate was exceeded. */
  readonly pausedUntilMs: number;
  /** The next pause after a refusal. */
  readonly pauseMs: number;
}

/** Replicas that are refused once are mostly refused for some seconds; each try is priced. */
const MIN_PAUSE_MS = 1_000;
const MAX_PAUSE_MS = 8_000;
/** After a reclaim of all replicas of a domain none are to be had there for a while. */
const RECLAIM_PAUSE_MS = 4_000;
/** After an order that no repeat can make right. */
const REJECTED_PAUSE_MS = 30_000;
/** How long replicas may take beyond their boot before their order is repeated. */
const OVERDUE_MS = 3_000;
const INITIAL: OrderState = {
  ordered: undefined,
  orderedAtMs: -Infinity,
  pending: undefined,
  blockedUntilMs: -Infinity,
  reclaimedUntilMs: -Infinity,
  pausedUntilMs: -Infinity,
  pauseMs: MIN_PAUSE_MS,
};

type Kind = Pick<ReplicaTarget, 'domain' | 'isSpot'>;

function createKey({ domain, isSpot }: Kind): string {
  return `${domain} ${String(isSpot)}`;
}

export default class OrderLedger {
  readonly #states = new Map<string, OrderState>();

  readonly #reclaimed = new Map<string, readonly string[]>();

  readonly #fences = new Map<string, number>();

  /** Forgets a domain's orders if another node may have ordered since: its right then has a new fencing token. */
  adopt(domain: string, fence: number): void {
    if (this.#fences.get(domain) !== fence) {
      this.#fences.set(domain, fence);
      this.#states.delete(createKey({ domain, isSpot: false }));
      this.#states.delete(createKey({ domain, isSpot: true }));
    }
  }

  findOrdered(kind: Kind): number | undefined {
    return this.#read(kind).ordered;
  }

  isBlocked(kind: Kind, nowMs: number): boolean {
    return nowMs < this.#read(kind).blockedUntilMs;
  }

  /** Whether a reclaim was noticed shortly before. It concerns all replicas of the kind, which announce it one by one. */
  isReclaimed(kind: Kind, nowMs: number): boolean {
    return nowMs < this.#read(kind).reclaimedUntilMs;
  }

  /** Records that the platform takes these replicas of a kind back, once for each, since they leave over some seconds. */
  recordReclaim(kind: Kind, ids: readonly string[], nowMs: number): void {
    const state = this.#read(kind);
    const known = this.#reclaimed.get(createKey(kind)) ?? [];
    this.#reclaimed.set(createKey(kind), ids);
    if (ids.every((id) => known.includes(id))) {
      return;
    }
    const reclaimedUntilMs = nowMs + RECLAIM_PAUSE_MS;
    const blockedUntilMs = Math.max(state.blockedUntilMs, reclaimedUntilMs);
    this.#states.set(createKey(kind), { ...state, blockedUntilMs, reclaimedUntilMs });
  }

  /**
   * The count to order now; undefined when there is nothing to order. `ready` is the number of replicas that are there:
   * it stands for the last order while this node has sent none.
   */
  findOrder(
    target: ReplicaTarget,
    { ready, bootMs }: { readonly ready: number; readonly bootMs: number },
    nowMs: number,
  ): number | undefined {
    const { ordered, orderedAtMs, pending, blockedUntilMs, pausedUntilMs } = this.#read(target);
    if (nowMs < Math.max(blockedUntilMs, pausedUntilMs)) {
      return undefined;
    }
    if (pending !== undefined) {
      return pending;
    }
    const isOverdue = ready < target.count && nowMs - orderedAtMs > bootMs + OVERDUE_MS;
    return target.count !== (ordered ?? ready) || isOverdue ? target.count : undefined;
  }

  record(
    target: ReplicaTarget,
    outcome: DutyOutcome,
    { fence }: Pick<DutyRight, 'fence'>,
    nowMs: number,
  ): void {
    if (this.#fences.get(target.domain) !== fence) {
      return;
    }
    const state = this.#read(target);
    const settled = { ...state, pending: undefined };
    const { pauseMs } = state;
    const changes: Readonly<Record<DutyOutcome, OrderState>> = {
      accepted: {
        ...settled,
        ordered: target.count,
        orderedAtMs: nowMs,
        pauseMs: MIN_PAUSE_MS,
      },
      unavailable: {
        ...settled,
        blockedUntilMs: nowMs + pauseMs,
        pauseMs: Math.min(MAX_PAUSE_MS, pauseMs * 2),
      },
      throttled: { ...settled, pausedUntilMs: nowMs + MIN_PAUSE_MS },
      rejected: { ...settled, blockedUntilMs: nowMs + REJECTED_PAUSE_MS },
      unknown: { ...state, pending: target.count },
    };
    this.#states.set(createKey(target), changes[outcome]);
  }

  #read(kind: Kind): OrderState {
    return this.#states.get(createKey(kind)) ?? INITIAL;
  }
}
