/**
 * Chooses the engines of a prompt by the lowest estimated cost: the queue wait, the prefill of uncached
 * tokens, traffic over paid links, the KV transfer when one engine prefills and another decodes, and the
 * delay for other requests. Where that is cheaper than prefilling, an engine copies shared parts from the KV
 * cache of another engine, so that requests with a part cached on one engine only need not wait in that
 * engine's queue. Designed for mixed load, in which prompts of very different sizes share parts that do not
 * all fit into one engine's cache.
 */
import type Distance from './Distance.js';
import type EngineCandidate from './EngineCandidate.js';
import type EngineSpeeds from './EngineSpeeds.js';
import PLACEMENT_COSTS from './PLACEMENT_COSTS.js';
import type NodeLocation from './NodeLocation.js';
import type Prompt from './Prompt.js';
import PromptPlacement from './PromptPlacement.js';
import type PromptPlan from './PromptPlan.js';
import findDistance from './findDistance.js';

/** Factors of the duration and the price of a KV transfer by distance, as defined by the engine protocol. */
const TRANSFER_TIMES = { domain: 1, region: 2, elsewhere: 10 } as const;
const TRANSFER_PRICES = { domain: 1, region: 2, elsewhere: 3 } as const;
/** How many engines are considered as sources of a copy: those that have the most tokens of the prompt cached. */
const MAX_COPY_SOURCES = 3;
/** How many of the cheapest prefill engines are combined with each decode engine. */
const MAX_PREFILL_OPTIONS = 3;
const BYTES_PER_KB = 1_000;

/** A copy of cached tokens from another engine; 0 tokens and no source when no copy pays off. */
interface KvCopy {
  readonly fromId: string | undefined;
  readonly tokens: number;
  /** The estimated duration of the copy. */
  readonly tookMs: number;
  /** The price of the traffic, in milliseconds of wait. */
  readonly priceMs: number;
}

/** An engine that can prefill the prompt, with the copy that it makes first. */
interface PrefillOption {
  readonly candidate: EngineCandidate;
  readonly copy: KvCopy;
}

interface PricedPrefillOption extends PrefillOption {
  readonly costMs: number;
}

const NO_COPY: KvCopy = { fromId: undefined, tokens: 0, tookMs: 0, priceMs: 0 };

/** The engines that have the most tokens of the prompt cached, in descending order. */
function listCopySources(candidates: readonly EngineCandidate[]): readonly EngineCandidate[] {
  return candidates
    .filter(({ copyableTokens }) => copyableTokens > 0)
    .sort((a, b) => b.copyableTokens - a.copyableTokens)
    .slice(0, MAX_COPY_SOURCES);
}

export default class CostPromptPlacement extends PromptPlacement {
  readonly #location: NodeLocation;

  readonly #speeds: EngineSpeeds;

  readonly #readTransferMsPerToken: () => number;

  constructor(location: NodeLocation, speeds: EngineSpeeds, readTransferMsPerToken: () => number) {
    super();
    this.#location = location;
    this.#speeds = speeds;
    this.#readTransferMsPerToken = readTransferMsPerToken;
  }

  override choose(prompt: Prompt, candidates: readonly EngineCandidate[]): PromptPlan | undefined {
    const copySources = listCopySources(candidates);
    const prefillOptions = candidates
      .filter(({ takesWork }) => takesWork)
      .map((candidate) => ({
        candidate,
        copy: this.#chooseCopy(prompt, candidate, copySources),
      }));
    const decodeOptions = prefillOptions.filter(({ candidate }) => candidate.stage === 'decode');
    const plans = [
      ...decodeOptions.map((option) => this.#planSingle(prompt, option)),
      ...this.#planDisaggregated(prompt, prefillOptions, decodeOptions),
    ];
    let best: PromptPlan | undefined;
    plans.forEach((plan) => {
      best = best === undefined || plan.costMs < best.costMs ? plan : best;
    });
    return best;
  }

  /** The copy with the lowest total cost, or none if prefilling without a copy costs no more. */
  #chooseCopy(
    prompt: Prompt,
    candidate: EngineCandidate,
    copySources: readonly EngineCandidate[],
  ): KvCopy {
    const { minCopyTokens, transferSetupMs, transferMsPerToken, recomputeMsPerToken } =
      PLACEMENT_COSTS;
    const withoutCopyMs = this.#estimatePrefillMs(prompt, candidate, 0);
    let best = NO_COPY;
    let leastMs =
      withoutCopyMs + (prompt.promptTokens - candidate.cachedTokens) * recomputeMsPerToken;
    copySources.forEach((source) => {
      const tokens = source.copyableTokens - candidate.cachedTokens;
      if (source.id === candidate.id || tokens < minCopyTokens) {
        return;
      }
      const distance = this.#findDistance(source.domain, candidate.domain);
      const copy = {
        fromId: source.id,
        tokens,
        tookMs:
          transferSetupMs + tokens * this.#readTransferMsPerToken() * TRANSFER_TIMES[distance],
        priceMs: tokens * transferMsPerToken * TRANSFER_PRICES[distance],
      };
      const prefillMs = this.#estimatePrefillMs(prompt, candidate, tokens);
      const uncachedTokens = prompt.promptTokens - candidate.cachedTokens - tokens;
      const totalMs = copy.tookMs + copy.priceMs + prefillMs + uncachedTokens * recomputeMsPerToken;
      if (totalMs < leastMs) {
        best = copy;
        leastMs = totalMs;
      }
    });
    return best;
  }

  /** A plan in which one engine both prefills and decodes. */
  #planSingle(prompt: Prompt, option: PrefillOption): PromptPlan {
    const { candidate, copy } = option;
    return {
      engineId: candidate.id,
      prefillId: undefined,
      copyFromId: copy.fromId,
      prefillMs: this.#estimatePrefillMs(prompt, candidate, copy.tokens),
      pace: candidate.pace,
      expectedFirstTokenMs: this.#estimatePrefilledMs(prompt, option),
      costMs:
        this.#pricePrefill(prompt, option) +
        this.#priceStreamDelay(prompt, option) +
        this.#priceGeneration(prompt, candidate) +
        this.#priceEndpoint(prompt, candidate),
    };
  }

  /**
   * Plans in which one engine prefills and another decodes: each of the cheapest prefill engines is combined
   * with each decode engine.
   */
  #planDisaggregated(
    prompt: Prompt,
    prefillOptions: readonly PrefillOption[],
    decodeOptions: readonly PrefillOption[],
  ): readonly PromptPlan[] {
    const cheapest = prefillOptions
      .filter(({ candidate }) => candidate.stage === 'prefill')
      .map((option) => ({
        ...option,
        costMs: this.#pricePrefill(prompt, option) + this.#priceEndpoint(prompt, option.candidate),
      }))
      .sort((a, b) => a.costMs - b.costMs)
      .slice(0, MAX_PREFILL_OPTIONS);
    return cheapest.flatMap((option) =>
      decodeOptions.map(({ candidate }) => this.#planTransfer(prompt, option, candidate)),
    );
  }

  #planTransfer(
    prompt: Prompt,
    option: PricedPrefillOption,
    decodeEngine: EngineCandidate,
  ): PromptPlan {
    const { transferSetupMs, transferMsPerToken, decodeCallMs } = PLACEMENT_COSTS;
    const { candidate, copy } = option;
    const distance = this.#findDistance(candidate.domain, decodeEngine.domain);
    const { promptTokens } = prompt;
    const transferMs =
      transferSetupMs +
      promptTokens * this.#readTransferMsPerToken() * TRANSFER_TIMES[distance] +
      decodeEngine.waitMs;
    const transferPriceMs = promptTokens * transferMsPerToken * TRANSFER_PRICES[distance];
    return {
      engineId: decodeEngine.id,
      prefillId: candidate.id,
      copyFromId: copy.fromId,
      prefillMs: this.#estimatePrefillMs(prompt, candidate, copy.tokens),
      pace: candidate.pace,
      expectedFirstTokenMs: this.#estimatePrefilledMs(prompt, option) + transferMs,
      costMs:
        option.costMs +
        decodeCallMs +
        transferMs +
        transferPriceMs +
        this.#priceGeneration(prompt, decodeEngine) +
        this.#priceEndpoint(prompt, decodeEngine),
    };
  }

  /** The estimated time until the prompt is prefilled. */
  #estimatePrefilledMs(prompt: Prompt, { candidate, copy }: PrefillOption): number {
    return (
      this.#speeds.latencyMs +
      candidate.waitMs +
      copy.tookMs +
      this.#estimatePrefillMs(prompt, candidate, copy.tokens)
    );
  }

  /** The cost of the wait, the copy and the prefill; shared tokens that are prefilled again cost extra. */
  #pricePrefill(prompt: Prompt, { candidate, copy }: PrefillOption): number {
    const sharedTokens = prompt.promptTokens - (prompt.parts.at(-1)?.tokens ?? 0);
    const recomputedTokens = Math.max(0, sharedTokens - candidate.cachedTokens - copy.tokens);
    return (
      candidate.waitMs +
      copy.tookMs +
      copy.priceMs +
      this.#estimatePrefillMs(prompt, candidate, copy.tokens) * this.#weighPace(candidate) +
      recomputedTokens * PLACEMENT_COSTS.recomputeMsPerToken
    );
  }

  /**
   * The cost of the delay that a prefill causes to the streams running on the same engine. It grows with the square
   * of the pause up to `longPauseMs`: a short one is hidden in the time between two events, a long one, to which the
   * queued prefills add, makes every stream late.
   */
  #priceStreamDelay(prompt: Prompt, { candidate, copy }: PrefillOption): number {
    const { streamDelayWeight, longPauseMs } = PLACEMENT_COSTS;
    const prefillMs = this.#estimatePrefillMs(prompt, candidate, copy.tokens);
    const pauseShare = Math.min(1, (prefillMs + candidate.prefillBacklogMs) / longPauseMs);
    return prefillMs * candidate.running * streamDelayWeight * pauseShare;
  }

  /** The cost of decoding the answer: a step for each token, and the engine's prefills, which slow the steps down. */
  #priceGeneration(
    { outputTokens }: Prompt,
    { running, prefillBacklogMs, pace }: EngineCandidate,
  ): number {
    const { stepMs, stepMsPerRequest, generationWeight } = PLACEMENT_COSTS;
    const generationMs =
      outputTokens * (stepMs + stepMsPerRequest * running) * pace + prefillBacklogMs;
    return generationMs * generationWeight;
  }

  #estimatePrefillMs(
    { promptTokens }: Prompt,
    { stage, cachedTokens, pace }: EngineCandidate,
    copiedTokens: number,
  ): number {
    const newTokens = Math.max(0, promptTokens - cachedTokens - copiedTokens);
    return this.#speeds.estimatePrefillMs(stage, newTokens, promptTokens - newTokens) * pace;
  }

  /**
   * The part of a prefill's time that its cost includes. A request that waits for a fast engine instead of using a slow
   * one that is free delays those behind it, so the difference of the paces counts in part only.
   */
  #weighPace({ pace }: EngineCandidate): number {
    return (1 + (pace - 1) * PLACEMENT_COSTS.paceWeight) / pace;
  }

  /** The cost of the distance to the engine, of paid traffic, of having no free slot, and of its failure share. */
  #priceEndpoint(prompt: Prompt, candidate: EngineCandidate): number {
    const { crossRegionMs, crossDomainMs, paidLinkMsPerKb, failureMs } = PLACEMENT_COSTS;
    const distance = this.#findDistance(this.#location.domain, candidate.domain);
    const latencyMs = { domain: 0, region: crossDomainMs, elsewhere: crossRegionMs }[distance];
    const paidMs = distance === 'domain' ? 0 : (prompt.bodyBytes / BYTES_PER_KB) * paidLinkMsPerKb;
    const noSlotMs = candidate.running >= candidate.slots ? failureMs : 0;
    return latencyMs + paidMs + noSlotMs + candidate.failureShare * failureMs;
  }

  #findDistance(from: string, to: string): Distance {
    return findDistance(this.#location.regionsByDomain, from, to);
  }
}
