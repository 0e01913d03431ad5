/** What this node knows of one instance: what it has sent there, what was reported, and how it fared. */
import EndpointHealth from '../decisions/health/EndpointHealth.js';
import KvCacheModel from '../decisions/placement/KvCacheModel.js';
import LatenessTracker from '../decisions/placement/LatenessTracker.js';
import PrefillQueue from '../decisions/placement/PrefillQueue.js';
import ConnectionPool from './ConnectionPool.js';
import type Instance from './Instance.js';
import type InstanceLoad from './InstanceLoad.js';

interface InstanceStateOptions {
  readonly connectTimeoutMs: number;
  readonly kvCapacityTokens: number;
}

/** What a token of a peer's generation is thought to take on an engine with some load. */
const TOKEN_MS = 10;
/** How fast a report of load loses its weight: reports are some hundred milliseconds old when they come. */
const REPORT_FADE_MS = 400;

export default class InstanceState {
  readonly health = new EndpointHealth();

  readonly cache: KvCacheModel;

  readonly queue = new PrefillQueue();

  readonly lateness = new LatenessTracker();

  readonly pool: ConnectionPool;

  #instance: Instance;

  #inFlight = 0;

  #lost = new AbortController();

  /** When the generations that peers have sent are thought to end. */
  #foreignEndsAtMs: readonly number[] = [];

  #load: InstanceLoad | undefined;

  #loadAtMs = -Infinity;

  constructor(instance: Instance, options: InstanceStateOptions) {
    this.#instance = instance;
    this.cache = new KvCacheModel(options.kvCapacityTokens);
    this.pool = new ConnectionPool(instance.address, options.connectTimeoutMs);
  }

  get instance(): Instance {
    return this.#instance;
  }

  /** Aborts when the instance turns out to be unreachable, so that nothing waits there in vain. */
  get lost(): AbortSignal {
    return this.#lost.signal;
  }

  noteUnreachable(nowMs: number): void {
    this.health.recordUnreachable(nowMs);
    this.#lost.abort(new Error('the endpoint has become unreachable'));
    this.#lost = new AbortController();
    this.pool.clear();
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  /** Takes a newer statement of the same instance about itself. */
  update(instance: Instance): void {
    this.#instance = instance;
  }

  begin(nowMs: number): void {
    this.health.beginTrial(nowMs);
    this.#inFlight += 1;
  }

  end(): void {
    this.#inFlight -= 1;
  }

  /** A peer has sent a generation that begins about then. */
  beginForeign(startsAtMs: number, outputTokens: number): void {
    this.#foreignEndsAtMs = [...this.#foreignEndsAtMs, startsAtMs + outputTokens * TOKEN_MS];
  }

  /** The prompt of an own attempt has been prefilled, and the first token has come. */
  endPrompt(attemptId: string, nowMs: number): void {
    this.queue.complete(attemptId, nowMs);
    this.lateness.end(attemptId, nowMs);
  }

  /** An own attempt has ended, with or without a first token. */
  dropPrompt(attemptId: string): void {
    this.queue.drop(attemptId);
    this.lateness.drop(attemptId);
  }

  /** How long a new prompt of this rank is thought to wait before its prefill. */
  estimateWaitMs(rank: number, nowMs: number): number {
    return this.queue.readWaitMs(rank, nowMs) + this.lateness.read(rank, nowMs);
  }

  recordLoad(load: InstanceLoad, nowMs: number): void {
    this.#load = load;
    this.#loadAtMs = nowMs;
  }

  /** Requests that run or wait there: this node's own, and its peers' or what was reported, whichever is more. */
  estimateRunning(nowMs: number): number {
    this.#foreignEndsAtMs = this.#foreignEndsAtMs.filter((atMs) => atMs > nowMs);
    const reported = this.#load === undefined ? 0 : this.#load.running + this.#load.waiting;
    return Math.max(
      this.#inFlight + this.#foreignEndsAtMs.length,
      reported * this.#weighReport(nowMs),
    );
  }

  dumpState(): unknown {
    const { id, service, address, domain, stage, isLeaving } = this.#instance;
    return { id, service, address, domain, stage, isLeaving, inFlight: this.#inFlight };
  }

  #weighReport(nowMs: number): number {
    return Math.exp((this.#loadAtMs - nowMs) / REPORT_FADE_MS);
  }
}
