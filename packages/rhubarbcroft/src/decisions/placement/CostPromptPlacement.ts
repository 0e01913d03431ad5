/**
 * Places a prompt where its first token is expected soonest, counting what a placement costs others: the
 * wait behind the prompts ahead, the prefill of what is not cached there, bytes over paid links, and the
 * transfer of KV cache when one engine prefills and another generates. Answers the mixed load in which
 * prompts of very different size share parts that one engine's cache cannot all hold.
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
/** How many prefill engines are looked at together with each engine that could go on from them. */
const MAX_PREFILLERS = 3;
const BYTES_PER_KB = 1_000;

interface Priced {
  readonly candidate: EngineCandidate;
  readonly costMs: number;
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
    const generating = candidates.filter(({ stage }) => stage === 'decode');
    const plans = [
      ...generating.map((candidate) => this.#planWhole(prompt, candidate)),
      ...this.#planHandOvers(prompt, candidates, generating),
    ];
    let best: PromptPlan | undefined;
    plans.forEach((plan) => {
      best = best === undefined || plan.costMs < best.costMs ? plan : best;
    });
    return best;
  }

  #planWhole(prompt: Prompt, candidate: EngineCandidate): PromptPlan {
    return {
      engineId: candidate.id,
      prefillId: undefined,
      prefillMs: this.#estimatePrefillMs(prompt, candidate),
      expectedFirstTokenMs: this.#estimateReadyMs(prompt, candidate),
      costMs:
        this.#pricePrefill(prompt, candidate) +
        this.#priceBystanders(prompt, candidate) +
        this.#priceGeneration(prompt, candidate) +
        this.#priceEndpoint(prompt, candidate),
    };
  }

  /** For each of the best prefill engines, the engine that goes on from it at the least cost. */
  #planHandOvers(
    prompt: Prompt,
    candidates: readonly EngineCandidate[],
    generating: readonly EngineCandidate[],
  ): readonly PromptPlan[] {
    const prefillers = candidates
      .filter(({ stage }) => stage === 'prefill')
      .map((candidate) => ({
        candidate,
        costMs: this.#pricePrefill(prompt, candidate) + this.#priceEndpoint(prompt, candidate),
      }))
      .sort((a, b) => a.costMs - b.costMs)
      .slice(0, MAX_PREFILLERS);
    return prefillers.flatMap((prefiller) =>
      generating.map((receiver) => this.#planHandOver(prompt, prefiller, receiver)),
    );
  }

  #planHandOver(prompt: Prompt, prefiller: Priced, receiver: EngineCandidate): PromptPlan {
    const { transferSetupMs, transferMsPerToken, handOverMs } = PLACEMENT_COSTS;
    const distance = this.#measure(prefiller.candidate.domain, receiver.domain);
    const { promptTokens } = prompt;
    const transferMs =
      transferSetupMs +
      promptTokens * this.#readTransferMsPerToken() * TRANSFER_TIMES[distance] +
      receiver.waitMs;
    const transferPriceMs = promptTokens * transferMsPerToken * TRANSFER_PRICES[distance];
    return {
      engineId: receiver.id,
      prefillId: prefiller.candidate.id,
      prefillMs: this.#estimatePrefillMs(prompt, prefiller.candidate),
      expectedFirstTokenMs: this.#estimateReadyMs(prompt, prefiller.candidate) + transferMs,
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
  #estimateReadyMs(prompt: Prompt, candidate: EngineCandidate): number {
    return this.#speeds.latencyMs + candidate.waitMs + this.#estimatePrefillMs(prompt, candidate);
  }

  #pricePrefill(prompt: Prompt, candidate: EngineCandidate): number {
    const sharedTokens = prompt.promptTokens - (prompt.parts.at(-1)?.tokens ?? 0);
    const rereadTokens = Math.max(0, sharedTokens - candidate.cachedTokens);
    const prefillMs = this.#estimatePrefillMs(prompt, candidate);
    return candidate.waitMs + prefillMs + rereadTokens * PLACEMENT_COSTS.rereadMsPerToken;
  }

  /** What a prefill costs the streams that run on the same engine. */
  #priceBystanders(prompt: Prompt, candidate: EngineCandidate): number {
    const delayMs = this.#estimatePrefillMs(prompt, candidate) * candidate.running;
    return delayMs * PLACEMENT_COSTS.bystanderWeight;
  }

  /** The tokens after the first: a step each, and slow ones while the engine prefills. */
  #priceGeneration({ outputTokens }: Prompt, { running, prefillingMs }: EngineCandidate): number {
    const { stepMs, stepMsPerRequest, generationWeight } = PLACEMENT_COSTS;
    const generationMs = outputTokens * (stepMs + stepMsPerRequest * running) + prefillingMs;
    return generationMs * generationWeight;
  }

  #estimatePrefillMs({ promptTokens }: Prompt, { stage, cachedTokens }: EngineCandidate): number {
    const newTokens = Math.max(0, promptTokens - cachedTokens);
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
