/** What this node knows of one instance: what it has sent there, what was reported, and how it fared. */
import EndpointHealth from '../decisions/health/EndpointHealth.js';
import KvCacheModel from '../decisions/placement/KvCacheModel.js';
import ConnectionPool from './ConnectionPool.js';
import type Instance from './Instance.js';
import type InstanceLoad from './InstanceLoad.js';
import type SentPrompt from './SentPrompt.js';

interface InstanceStateOptions {
  readonly connectTimeoutMs: number;
  readonly kvCapacityTokens: number;
}

/** How fast a report of load loses its weight: reports are some hundred milliseconds old when they come. */
const REPORT_FADE_MS = 400;
/** What a waiting prompt of another node is taken to measure, the mean on the users' sheet. */
const FOREIGN_PROMPT_TOKENS = 3_000;

export default class InstanceState {
  readonly health = new EndpointHealth();

  readonly cache: KvCacheModel;

  readonly pool: ConnectionPool;

  #instance: Instance;

  #inFlight = 0;

  readonly #prompts = new Map<string, SentPrompt>();

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

  get inFlight(): number {
    return this.#inFlight;
  }

  /** Takes a newer statement of the same instance about itself. */
  update(instance: Instance): void {
    this.#instance = instance;
  }

  begin(): void {
    this.#inFlight += 1;
  }

  end(attemptId: string): void {
    this.#inFlight -= 1;
    this.#prompts.delete(attemptId);
  }

  beginPrompt(attemptId: string, prompt: SentPrompt): void {
    this.#prompts.set(attemptId, prompt);
  }

  /** The prompt of an attempt has been prefilled. */
  endPrompt(attemptId: string): void {
    this.#prompts.delete(attemptId);
  }

  recordLoad(load: InstanceLoad, nowMs: number): void {
    this.#load = load;
    this.#loadAtMs = nowMs;
  }

  /** Requests that run or wait there: this node's own, or what was reported if that is more. */
  estimateRunning(nowMs: number): number {
    const reported = this.#load === undefined ? 0 : this.#load.running + this.#load.waiting;
    return Math.max(this.#inFlight, reported * this.#weighReport(nowMs));
  }

  /** Prompt tokens that go before a new prompt of this rank. */
  estimateBacklogTokens(rank: number, tokensPerMs: number, nowMs: number): number {
    let ownTokens = 0;
    let oldestAtMs = nowMs;
    let count = 0;
    this.#prompts.forEach((prompt) => {
      if (prompt.rank <= rank) {
        ownTokens += prompt.newTokens;
        oldestAtMs = Math.min(oldestAtMs, prompt.sentAtMs);
        count += 1;
      }
    });
    const doneTokens = Math.min(ownTokens, (nowMs - oldestAtMs) * tokensPerMs);
    const foreign = Math.max(0, (this.#load?.waiting ?? 0) - count) * this.#weighReport(nowMs);
    return ownTokens - doneTokens + foreign * FOREIGN_PROMPT_TOKENS;
  }

  dumpState(): unknown {
    const { id, service, address, domain, stage, isLeaving } = this.#instance;
    return { id, service, address, domain, stage, isLeaving, inFlight: this.#inFlight };
  }

  #weighReport(nowMs: number): number {
    return Math.exp((this.#loadAtMs - nowMs) / REPORT_FADE_MS);
  }
}
