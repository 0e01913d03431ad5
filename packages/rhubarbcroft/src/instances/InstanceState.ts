/** The state of one instance on this node: its health, the requests dispatched to it and the load it reported. */
import EndpointHealth from '../decisions/health/EndpointHealth.js';
import KvCacheModel from '../decisions/placement/KvCacheModel.js';
import type EndpointPace from '../decisions/pace/EndpointPace.js';
import ConcurrencyLimit from '../decisions/pace/ConcurrencyLimit.js';
import EnginePace from '../decisions/pace/EnginePace.js';
import ServicePace from '../decisions/pace/ServicePace.js';
import resolveEngineRoom from '../decisions/room/resolveEngineRoom.js';
import estimateGenerationMs from '../decisions/room/estimateGenerationMs.js';
import type EngineRoom from '../decisions/room/EngineRoom.js';
import MemoryRoom from '../decisions/room/MemoryRoom.js';
import LatenessTracker from '../decisions/placement/LatenessTracker.js';
import PrefillQueue from '../decisions/placement/PrefillQueue.js';
import ConnectionPool from './ConnectionPool.js';
import type Instance from './Instance.js';
import type InstanceLoad from './InstanceLoad.js';

interface InstanceStateOptions {
  readonly connectTimeoutMs: number;
  /** Undefined if the operator does not declare it. */
  readonly kvCapacityTokens: number | undefined;
}

/** Assumed for the cache if the operator does not declare the KV cache capacity of an engine. */
const DEFAULT_KV_CAPACITY_TOKENS = 100_000;
/** Time constant of the exponential decay of a load report, which is some hundred milliseconds old on arrival. */
const REPORT_DECAY_MS = 400;

export default class InstanceState {
  readonly health = new EndpointHealth();

  readonly kvCache: KvCacheModel;

  readonly prefillQueue = new PrefillQueue();

  readonly lateness = new LatenessTracker();

  readonly pool: ConnectionPool;

  readonly pace: EndpointPace;

  /** How many calls it takes well. */
  readonly concurrency = new ConcurrencyLimit();

  /** The KV cache memory of an engine's running requests. */
  readonly memory: MemoryRoom;

  #instance: Instance;

  #hasAnnouncedLeaving = false;

  #inFlight = 0;

  #unreachable = new AbortController();

  /** The estimated ends of the generations that peers have dispatched. */
  #peerEndsAtMs: readonly number[] = [];

  #load: InstanceLoad | undefined;

  #loadAtMs = -Infinity;

  #changingUntilMs: number | undefined;

  constructor(instance: Instance, options: InstanceStateOptions) {
    this.#instance = instance;
    this.pace = instance.stage === undefined ? new ServicePace() : new EnginePace();
    this.kvCache = new KvCacheModel(options.kvCapacityTokens ?? DEFAULT_KV_CAPACITY_TOKENS);
    this.memory = new MemoryRoom(options.kvCapacityTokens);
    this.pool = new ConnectionPool(instance.address, options.connectTimeoutMs);
  }

  get instance(): Instance {
    return this.#instance;
  }

  /** Whether its registration or one of its answers says that it leaves, so that it gets no new requests. */
  get isLeaving(): boolean {
    return this.#instance.isLeaving || this.#hasAnnouncedLeaving;
  }

  /** Records that the instance announced in an answer that it leaves. */
  announceLeaving(): void {
    this.#hasAnnouncedLeaving = true;
  }

  /** Records that the instance is to change its stage, once in its run: until then it declines requests. */
  markChanging(untilMs: number): void {
    this.#changingUntilMs ??= untilMs;
  }

  /** Whether it declines requests because it changes from the decode to the prefill stage. */
  isChanging(nowMs: number): boolean {
    return nowMs < (this.#changingUntilMs ?? -Infinity) && this.#instance.stage === 'decode';
  }

  /** Aborts when the instance becomes unreachable, so that its waiting attempts fail immediately. */
  get unreachableSignal(): AbortSignal {
    return this.#unreachable.signal;
  }

  /** Records a failed connection and aborts what waits for an answer of the instance. */
  markUnreachable(nowMs: number): void {
    this.health.recordUnreachable(nowMs);
    this.#unreachable.abort(
      new Error('the endpoint became unreachable; its waiting attempts are aborted'),
    );
    this.#unreachable = new AbortController();
    this.pool.closeIdle();
  }

  /** This node's own attempts in flight. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Stores a newer registration of the same run. */
  update(instance: Instance): void {
    this.#instance = instance;
  }

  beginAttempt(nowMs: number): void {
    this.health.beginTrial(nowMs);
    this.#inFlight += 1;
  }

  endAttempt(): void {
    this.#inFlight -= 1;
  }

  /** Counts a generation dispatched by a peer until its estimated end. */
  recordPeerGeneration(startsAtMs: number, outputTokens: number): void {
    this.#peerEndsAtMs = [...this.#peerEndsAtMs, startsAtMs + estimateGenerationMs(outputTokens)];
  }

  /** Records the end of an own attempt's prefill: the first token has arrived. */
  completePrefill(attemptId: string, nowMs: number): void {
    this.prefillQueue.complete(attemptId, nowMs);
    this.lateness.recordFirstToken(attemptId, nowMs);
  }

  /** Removes an ended attempt from the estimates, whether or not a first token arrived. */
  discardPrefill(attemptId: string): void {
    this.prefillQueue.remove(attemptId);
    this.memory.release(attemptId);
    this.lateness.discard(attemptId);
  }

  /** Estimates how long a new prompt of this rank waits before its prefill. */
  estimatePrefillWaitMs(rank: number, nowMs: number): number {
    return (
      this.prefillQueue.estimateWaitMs(rank, nowMs) + this.lateness.estimateLatenessMs(rank, nowMs)
    );
  }

  recordLoad(load: InstanceLoad, nowMs: number): void {
    this.#load = load;
    this.#loadAtMs = nowMs;
  }

  /**
   * Estimates the requests that run or wait there: the dispatched ones of this node and its peers, or the reported
   * ones, decayed by the age of the report, whichever is more.
   */
  estimateRunning(nowMs: number): number {
    this.#peerEndsAtMs = this.#peerEndsAtMs.filter((endsAtMs) => endsAtMs > nowMs);
    const reported = this.#load === undefined ? 0 : this.#load.running + this.#load.waiting;
    return Math.max(
      this.#inFlight + this.#peerEndsAtMs.length,
      reported * this.#computeReportWeight(nowMs),
    );
  }

  /** How much of it is taken, and what runs out first. */
  readRoom(nowMs: number): EngineRoom {
    const { slots } = this.#instance;
    return resolveEngineRoom(this.estimateRunning(nowMs), slots, this.memory.readShare(nowMs));
  }

  dumpState(nowMs: number): unknown {
    const { id, service, address, domain, stage } = this.#instance;
    const { isLeaving, inFlight } = this;
    const room = this.readRoom(nowMs);
    return { id, service, address, domain, stage, isLeaving, inFlight, room };
  }

  #computeReportWeight(nowMs: number): number {
    return Math.exp((this.#loadAtMs - nowMs) / REPORT_DECAY_MS);
  }
}
