/**
 * Places a prompt where its first token is expected soonest, counting what a placement costs others: the
 * wait behind the prompts ahead, the prefill of what is not cached there, bytes over paid links, and the
 * transfer of KV cache when one engine prefills and another generates. An engine that lacks shared parts
 * copies them from one that holds them where that is cheaper than to prefill them again, so that a part with
 * one home does not tie its requests to that engine's queue. Answers the mixed load in which prompts of very
 * different size share parts that one engine's cache cannot all hold.
 */
import type Distance from './Distance.js';
import type EngineCandidate from './EngineCandidate.js';
import type EngineSpeeds from './EngineSpeeds.js';
import PLACEMENT_COSTS from './PLACEMENT_COSTS.js';
import type Place from './Place.js';
import type Prompt from './Prompt.js';
import PromptPlacement from './PromptPlacement.js';
import type PromptPlan from './PromptPlan.js';
import findDistance from './findDistance.js';

/** How much longer a transfer takes, and how much more it is priced, by distance (the engines' protocol). */
const TRANSFER_TIMES = { domain: 1, region: 2, elsewhere: 10 } as const;
const TRANSFER_PRICES = { domain: 1, region: 2, elsewhere: 3 } as const;
/** How many engines that hold the most of a prompt are looked at as ones to copy from. */
const MAX_HOLDERS = 3;
/** How many prefill engines are looked at together with each engine that could go on from them. */
const MAX_PREFILLERS = 3;
const BYTES_PER_KB = 1_000;

/** A copy of cached tokens from another engine; one of none when nothing is to be gained. */
interface Copy {
  readonly fromId: string | undefined;
  readonly tokens: number;
  readonly tookMs: number;
  readonly priceMs: number;
}

/** An engine with the copy that it is to make before it prefills the prompt. */
interface Prefiller {
  readonly candidate: EngineCandidate;
  readonly copy: Copy;
}

interface Priced extends Prefiller {
  readonly costMs: number;
}

const NO_COPY: Copy = { fromId: undefined, tokens: 0, tookMs: 0, priceMs: 0 };

/** The engines that hold the most of a prompt, the best first. */
function listHolders(candidates: readonly EngineCandidate[]): readonly EngineCandidate[] {
  return candidates
    .filter(({ copyableTokens }) => copyableTokens > 0)
    .sort((a, b) => b.copyableTokens - a.copyableTokens)
    .slice(0, MAX_HOLDERS);
}

export default class CostPromptPlacement extends PromptPlacement {
  readonly #place: Place;

  readonly #speeds: EngineSpeeds;

  readonly #readTransferMsPerToken: () => number;

  constructor(place: Place, speeds: EngineSpeeds, readTransferMsPerToken: () => number) {
    super();
    this.#place = place;
    this.#speeds = speeds;
    this.#readTransferMsPerToken = readTransferMsPerToken;
  }

  override choose(prompt: Prompt, candidates: readonly EngineCandidate[]): PromptPlan | undefined {
    const holders = listHolders(candidates);
    const prefillers = candidates
      .filter(({ takesWork }) => takesWork)
      .map((candidate) => ({
        candidate,
        copy: this.#chooseCopy(prompt, candidate, holders),
      }));
    const generating = prefillers.filter(({ candidate }) => candidate.stage === 'decode');
    const plans = [
      ...generating.map((prefiller) => this.#planWhole(prompt, prefiller)),
      ...this.#planHandOvers(prompt, prefillers, generating),
    ];
    let best: PromptPlan | undefined;
    plans.forEach((plan) => {
      best = best === undefined || plan.costMs < best.costMs ? plan : best;
    });
    return best;
  }

  /** The copy that spares an engine the most, if it spares more than it takes and costs. */
  #chooseCopy(
    prompt: Prompt,
    candidate: EngineCandidate,
    holders: readonly EngineCandidate[],
  ): Copy {
    const { copyMinTokens, transferSetupMs, transferMsPerToken, rereadMsPerToken } =
      PLACEMENT_COSTS;
    const aloneMs = this.#estimatePrefillMs(prompt, candidate, 0);
    let best = NO_COPY;
    let leastMs = aloneMs + (prompt.promptTokens - candidate.cachedTokens) * rereadMsPerToken;
    holders.forEach((holder) => {
      const tokens = holder.copyableTokens - candidate.cachedTokens;
      if (holder.id === candidate.id || tokens < copyMinTokens) {
        return;
      }
      const distance = this.#measure(holder.domain, candidate.domain);
      const copy = {
        fromId: holder.id,
        tokens,
        tookMs:
          transferSetupMs + tokens * this.#readTransferMsPerToken() * TRANSFER_TIMES[distance],
        priceMs: tokens * transferMsPerToken * TRANSFER_PRICES[distance],
      };
      const readMs = this.#estimatePrefillMs(prompt, candidate, tokens);
      const leftTokens = prompt.promptTokens - candidate.cachedTokens - tokens;
      const totalMs = copy.tookMs + copy.priceMs + readMs + leftTokens * rereadMsPerToken;
      if (totalMs < leastMs) {
        best = copy;
        leastMs = totalMs;
      }
    });
    return best;
  }

  #planWhole(prompt: Prompt, prefiller: Prefiller): PromptPlan {
    const { candidate, copy } = prefiller;
    return {
      engineId: candidate.id,
      prefillId: undefined,
      copyFromId: copy.fromId,
      prefillMs: this.#estimatePrefillMs(prompt, candidate, copy.tokens),
      expectedFirstTokenMs: this.#estimateReadyMs(prompt, prefiller),
      costMs:
        this.#pricePrefill(prompt, prefiller) +
        this.#priceBystanders(prompt, prefiller) +
        this.#priceGeneration(prompt, candidate) +
        this.#priceEndpoint(prompt, candidate),
    };
  }

  /** For each of the best prefill engines, the engine that goes on from it at the least cost. */
  #planHandOvers(
    prompt: Prompt,
    prefillers: readonly Prefiller[],
    generating: readonly Prefiller[],
  ): readonly PromptPlan[] {
    const cheapest = prefillers
      .filter(({ candidate }) => candidate.stage === 'prefill')
      .map((prefiller) => ({
        ...prefiller,
        costMs:
          this.#pricePrefill(prompt, prefiller) + this.#priceEndpoint(prompt, prefiller.candidate),
      }))
      .sort((a, b) => a.costMs - b.costMs)
      .slice(0, MAX_PREFILLERS);
    return cheapest.flatMap((prefiller) =>
      generating.map(({ candidate }) => this.#planHandOver(prompt, prefiller, candidate)),
    );
  }

  #planHandOver(prompt: Prompt, prefiller: Priced, receiver: EngineCandidate): PromptPlan {
    const { transferSetupMs, transferMsPerToken, handOverMs } = PLACEMENT_COSTS;
    const { candidate, copy } = prefiller;
    const distance = this.#measure(candidate.domain, receiver.domain);
    const { promptTokens } = prompt;
    const transferMs =
      transferSetupMs +
      promptTokens * this.#readTransferMsPerToken() * TRANSFER_TIMES[distance] +
      receiver.waitMs;
    const transferPriceMs = promptTokens * transferMsPerToken * TRANSFER_PRICES[distance];
    return {
      engineId: receiver.id,
      prefillId: candidate.id,
      copyFromId: copy.fromId,
      prefillMs: this.#estimatePrefillMs(prompt, candidate, copy.tokens),
      expectedFirstTokenMs: this.#estimateReadyMs(prompt, prefiller) + transferMs,
      costMs:
        prefiller.costMs +
        handOverMs +
        transferMs +
        transferPriceMs +
        this.#priceGeneration(prompt, receiver) +
        this.#priceEndpoint(prompt, receiver),
    };
  }

  /** When the prompt is thought to have been prefilled. */
  #estimateReadyMs(prompt: Prompt, { candidate, copy }: Prefiller): number {
    return (
      this.#speeds.latencyMs +
      candidate.waitMs +
      copy.tookMs +
      this.#estimatePrefillMs(prompt, candidate, copy.tokens)
    );
  }

  #pricePrefill(prompt: Prompt, { candidate, copy }: Prefiller): number {
    const sharedTokens = prompt.promptTokens - (prompt.parts.at(-1)?.tokens ?? 0);
    const rereadTokens = Math.max(0, sharedTokens - candidate.cachedTokens - copy.tokens);
    return (
      candidate.waitMs +
      copy.tookMs +
      copy.priceMs +
      this.#estimatePrefillMs(prompt, candidate, copy.tokens) +
      rereadTokens * PLACEMENT_COSTS.rereadMsPerToken
    );
  }

  /** What a prefill costs the streams that run on the same engine. */
  #priceBystanders(prompt: Prompt, { candidate, copy }: Prefiller): number {
    const delayMs = this.#estimatePrefillMs(prompt, candidate, copy.tokens) * candidate.running;
    return delayMs * PLACEMENT_COSTS.bystanderWeight;
  }

  /** The tokens after the first: a step each, and slow ones while the engine prefills. */
  #priceGeneration({ outputTokens }: Prompt, { running, prefillingMs }: EngineCandidate): number {
    const { stepMs, stepMsPerRequest, generationWeight } = PLACEMENT_COSTS;
    const generationMs = outputTokens * (stepMs + stepMsPerRequest * running) + prefillingMs;
    return generationMs * generationWeight;
  }

  #estimatePrefillMs(
    { promptTokens }: Prompt,
    { stage, cachedTokens }: EngineCandidate,
    copiedTokens: number,
  ): number {
    const newTokens = Math.max(0, promptTokens - cachedTokens - copiedTokens);
    return this.#speeds.estimatePrefillMs(stage, newTokens, promptTokens - newTokens);
  }

  #priceEndpoint(prompt: Prompt, candidate: EngineCandidate): number {
    const { elsewhereMs, regionMs, paidLinkMsPerKb, failureMs } = PLACEMENT_COSTS;
    const distance = this.#measure(this.#place.domain, candidate.domain);
    const waitMs = { domain: 0, region: regionMs, elsewhere: elsewhereMs }[distance];
    const paidMs = distance === 'domain' ? 0 : (prompt.bodyBytes / BYTES_PER_KB) * paidLinkMsPerKb;
    const fullMs = candidate.running >= candidate.slots ? failureMs : 0;
    return waitMs + paidMs + fullMs + candidate.failureShare * failureMs;
  }

  #measure(from: string, to: string): Distance {
    return findDistance(this.#place.regionsByDomain, from, to);
  }
}
