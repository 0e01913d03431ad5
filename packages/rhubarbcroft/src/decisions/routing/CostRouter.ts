/**
 * Routes by the expected time to first token.
 *
 * The estimate adds the endpoint's reported backlog, less the work done since the report, and the unreported
 * dispatches of this node and its peers. A prefix that the endpoint probably has cached shortens the prefill.
 * Each choice considers only a random sample and the endpoints that probably have the prefix cached, so that
 * entry VMs with the same stale load reports do not all choose the same endpoint. Endpoints in another region
 * get a fixed penalty.
 */
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import RANKS from '@rhubarbcroft/protocol/ranks/RANKS';
import type EndpointView from '../EndpointView.js';
import estimateBacklogTokens from '../estimateBacklogTokens.js';
import estimateRunning from '../estimateRunning.js';
import chooseOwner from '../chooseOwner.js';
import type Work from '../Work.js';
import type CachedPrefix from './CachedPrefix.js';
import PrefixIndex from './PrefixIndex.js';
import type Route from './Route.js';
import Router from './Router.js';

interface CostRouterOptions {
  readonly ownDomain: string;
  readonly ownRegion: string;
  readonly crossRegionPenaltyMs: number;
  /** The number of prompt tokens in a cache block. */
  readonly blockTokens: number;
  /** How many candidates a choice samples, besides those that have the prefix cached. */
  readonly sampleSize: number;
  /** The KV transfer time of one prompt token. */
  readonly kvTransferMsPerToken: number;
}

const MS_PER_S = 1_000;
/** The share of a prefix that is assumed to be cached at its owner when this node has not dispatched it. */
const ASSUMED_CACHED_FRACTION = 0.5;
const CROSS_DOMAIN_PENALTY_MS = 4;
/** The share of used slots above which the slowdown of decode is counted. */
const CROWDED_FRACTION = 0.7;
const CROWDED_PENALTY_MS = 60;
const FULL_PENALTY_MS = 400;
/** The weight of delay for overtaken requests against the request's own delay. */
const DISPLACEMENT_WEIGHT = 0.3;

export default class CostRouter extends Router {
  readonly #options: CostRouterOptions;

  readonly #random: RandomGenerator;

  readonly prefixes = new PrefixIndex();

  constructor(options: CostRouterOptions, random: RandomGenerator) {
    super();
    this.#options = options;
    this.#random = random;
  }

  override choose(work: Work, candidates: readonly EndpointView[]): Route | undefined {
    const usable = candidates.filter((candidate) => candidate.available);
    const cachedPrefixes = this.findCachedPrefixes(work, usable);
    const prefill = usable.filter((candidate) => candidate.role === 'prefill');
    const decode = usable.filter((candidate) => candidate.role === 'decode');
    const mixed = usable.filter((candidate) => candidate.role === 'mixed');
    const routes = [
      this.#findBest(work, mixed, cachedPrefixes),
      this.#findDisaggregated(work, prefill, [...decode, ...mixed], cachedPrefixes),
      this.#findDisaggregated(work, mixed, decode, cachedPrefixes),
    ].filter((route) => route !== undefined);
    const [best] = routes.sort((a, b) => a.expectedFirstTokenMs - b.expectedFirstTokenMs);
    return best ?? this.#findBest(work, usable, cachedPrefixes);
  }

  /**
   * The endpoints that probably have a prefix of the prompt cached. For a prefix that is not in this node's
   * index, rendezvous hashing chooses an owner, the same on every node, so that requests with the same prefix
   * reach the same endpoint without coordination. Half of the prefix is assumed to be cached there.
   */
  override findCachedPrefixes(
    work: Work,
    usable: readonly EndpointView[],
  ): ReadonlyMap<string, CachedPrefix> {
    const known = [...this.prefixes.countCachedBlocks(work.prefixKeys)];
    if (known.length > 0 || work.prefixKeys.length === 0) {
      return new Map(known.map(([id, blocks]) => [id, { blocks, seen: true }]));
    }
    const ids = usable
      .filter((candidate) => candidate.role !== 'decode')
      .map((candidate) => candidate.id);
    const owner = chooseOwner(work.prefixKeys[0], ids);
    const blocks = work.prefixKeys.length * ASSUMED_CACHED_FRACTION;
    return new Map(owner === undefined ? [] : [[owner, { blocks, seen: false }]]);
  }

  override estimateUncachedTokens(work: Work): number {
    const known = Math.max(0, ...this.prefixes.countCachedBlocks(work.prefixKeys).values());
    const blocks = Math.max(known, work.prefixKeys.length * ASSUMED_CACHED_FRACTION);
    return Math.max(0, work.promptTokens - blocks * this.#options.blockTokens);
  }

  override recordDispatch(work: Work, route: Route): void {
    this.prefixes.record(work.prefixKeys, route.prefillId ?? route.endpointId);
  }

  /** The best pair of an engine that prefills the prompt and one that decodes after the KV transfer. */
  #findDisaggregated(
    work: Work,
    prefillEngines: readonly EndpointView[],
    decodeEngines: readonly EndpointView[],
    cachedPrefixes: ReadonlyMap<string, CachedPrefix>,
  ): Route | undefined {
    const prefill = this.#findBest(work, prefillEngines, cachedPrefixes);
    const decode = this.#findBest(
      { ...work, promptTokens: 0, prefixKeys: [] },
      decodeEngines,
      new Map(),
    );
    if (prefill === undefined || decode === undefined) {
      return undefined;
    }
    const transferMs = work.promptTokens * this.#options.kvTransferMsPerToken;
    return {
      endpointId: decode.endpointId,
      prefillId: prefill.endpointId,
      expectedFirstTokenMs: prefill.expectedFirstTokenMs + transferMs + decode.expectedFirstTokenMs,
    };
  }

  #findBest(
    work: Work,
    usable: readonly EndpointView[],
    cachedPrefixes: ReadonlyMap<string, CachedPrefix>,
  ): Route | undefined {
    let best: Route | undefined;
    let leastMs = Infinity;
    for (const candidate of this.#sample(usable, cachedPrefixes)) {
      const expectedFirstTokenMs = this.#estimateFirstTokenMs(
        work,
        candidate,
        cachedPrefixes.get(candidate.id)?.blocks ?? 0,
      );
      const costMs = expectedFirstTokenMs + CostRouter.#estimateDisplacementMs(work, candidate);
      if (costMs < leastMs) {
        leastMs = costMs;
        best = { endpointId: candidate.id, expectedFirstTokenMs };
      }
    }
    return best;
  }

  #sample(
    usable: readonly EndpointView[],
    cachedPrefixes: ReadonlyMap<string, CachedPrefix>,
  ): readonly EndpointView[] {
    const { sampleSize } = this.#options;
    if (usable.length <= sampleSize) {
      return usable;
    }
    const start = uniformInt(this.#random, 0, usable.length - 1);
    const stride = 1 + uniformInt(this.#random, 0, usable.length - 2);
    const sampled: EndpointView[] = [];
    for (let step = 0; step < sampleSize; step += 1) {
      sampled.push(usable[(start + step * stride) % usable.length]);
    }
    return cachedPrefixes.size === 0
      ? sampled
      : [...sampled, ...usable.filter(({ id }) => cachedPrefixes.has(id))];
  }

  #estimateFirstTokenMs(work: Work, candidate: EndpointView, cachedBlocks: number): number {
    const cachedTokens = Math.min(cachedBlocks * this.#options.blockTokens, work.promptTokens);
    const backlogTokens = estimateBacklogTokens(candidate, RANKS.indexOf(work.rank));
    const promptTokens = backlogTokens + work.promptTokens - cachedTokens;
    const prefillMs = (promptTokens / candidate.prefillTokensPerS) * MS_PER_S;
    const running = estimateRunning(candidate);
    return (
      (prefillMs + CostRouter.#estimateCrowdingMs(running, candidate)) / candidate.rampFraction +
      this.#readDistancePenaltyMs(candidate)
    );
  }

  /** The cost to other requests: prompts of lower ranks that the request overtakes wait for its prefill. */
  static #estimateDisplacementMs(work: Work, candidate: EndpointView): number {
    const ownRank = RANKS.indexOf(work.rank);
    const overtakenTokens =
      estimateBacklogTokens(candidate, RANKS.length - 1) -
      estimateBacklogTokens(candidate, ownRank);
    const delayTokens = Math.min(work.promptTokens, overtakenTokens);
    return (delayTokens / candidate.prefillTokensPerS) * MS_PER_S * DISPLACEMENT_WEIGHT;
  }

  static #estimateCrowdingMs(running: number, candidate: EndpointView): number {
    const used = running / candidate.slots;
    if (used >= 1) {
      return FULL_PENALTY_MS * used;
    }
    return used > CROWDED_FRACTION
      ? (CROWDED_PENALTY_MS * (used - CROWDED_FRACTION)) / (1 - CROWDED_FRACTION)
      : used;
  }

  #readDistancePenaltyMs(candidate: EndpointView): number {
    if (candidate.region !== this.#options.ownRegion) {
      return this.#options.crossRegionPenaltyMs;
    }
    return candidate.domain === this.#options.ownDomain ? 0 : CROSS_DOMAIN_PENALTY_MS;
  }
}
