/**
 * Places a prompt where its first token is expected soonest, counting what a placement costs others: the
 * wait behind the prompts ahead, the prefill of what is not cached there, the transfer of KV cache when
 * one engine prefills and another generates, and distance. Answers the mixed load in which prompts of
 * very different size share parts that one engine's cache cannot all hold.
 */
import type EngineCandidate from './EngineCandidate.js';
import PLACEMENT_COSTS from './PLACEMENT_COSTS.js';
import type Prompt from './Prompt.js';
import PromptPlacement from './PromptPlacement.js';
import type PromptPlan from './PromptPlan.js';

interface EngineSpeeds {
  /** Prompt tokens that a prefill engine reads in a millisecond. */
  readonly prefillTokensPerMs: number;
  /** How long moving the KV cache of one token inside a failure domain takes. */
  readonly transferMsPerToken: number;
}

/** How much longer a transfer takes by distance (the engines' protocol). */
const TRANSFER_FACTORS = { domain: 1, region: 2, elsewhere: 10 } as const;

interface Priced {
  readonly candidate: EngineCandidate;
  readonly costMs: number;
  readonly newTokens: number;
}

export default class CostPromptPlacement extends PromptPlacement {
  readonly #readSpeeds: () => EngineSpeeds;

  constructor(readSpeeds: () => EngineSpeeds) {
    super();
    this.#readSpeeds = readSpeeds;
  }

  override choose(prompt: Prompt, candidates: readonly EngineCandidate[]): PromptPlan | undefined {
    const speeds = this.#readSpeeds();
    const generating = candidates.filter(({ stage }) => stage === 'decode');
    const whole = CostPromptPlacement.#findCheapest(
      generating.map((candidate) => this.#priceWhole(prompt, candidate, speeds)),
    );
    if (whole === undefined) {
      return undefined;
    }
    const prefill = CostPromptPlacement.#findCheapest(
      candidates
        .filter(({ stage }) => stage === 'prefill')
        .map((candidate) => this.#pricePrefill(prompt, candidate, speeds)),
    );
    const receiver = CostPromptPlacement.#findCheapest(
      generating.map((candidate) => this.#priceHandOver(prompt, candidate, speeds)),
    );
    if (
      prefill !== undefined &&
      receiver !== undefined &&
      prefill.costMs + receiver.costMs < whole.costMs
    ) {
      return {
        engineId: receiver.candidate.id,
        prefillId: prefill.candidate.id,
        newTokens: prefill.newTokens,
        expectedFirstTokenMs: prefill.costMs + receiver.costMs,
      };
    }
    return {
      engineId: whole.candidate.id,
      prefillId: undefined,
      newTokens: whole.newTokens,
      expectedFirstTokenMs: whole.costMs,
    };
  }

  #priceWhole(prompt: Prompt, candidate: EngineCandidate, speeds: EngineSpeeds): Priced {
    const newTokens = Math.max(0, prompt.promptTokens - candidate.cachedTokens);
    const prefillMs =
      ((candidate.backlogTokens + newTokens) * PLACEMENT_COSTS.decodePrefillFactor) /
      speeds.prefillTokensPerMs;
    const costMs = prefillMs + CostPromptPlacement.#priceEndpoint(candidate);
    return { candidate, newTokens, costMs };
  }

  #pricePrefill(prompt: Prompt, candidate: EngineCandidate, speeds: EngineSpeeds): Priced {
    const newTokens = Math.max(0, prompt.promptTokens - candidate.cachedTokens);
    const prefillMs = (candidate.backlogTokens + newTokens) / speeds.prefillTokensPerMs;
    const costMs = prefillMs + CostPromptPlacement.#priceEndpoint(candidate);
    return { candidate, newTokens, costMs };
  }

  #priceHandOver(prompt: Prompt, candidate: EngineCandidate, speeds: EngineSpeeds): Priced {
    const transferMs =
      PLACEMENT_COSTS.transferSetupMs +
      prompt.promptTokens * speeds.transferMsPerToken * TRANSFER_FACTORS[candidate.distance];
    const costMs =
      PLACEMENT_COSTS.handOverMs + transferMs + CostPromptPlacement.#priceEndpoint(candidate);
    return { candidate, newTokens: 0, costMs };
  }

  static #priceEndpoint(candidate: EngineCandidate): number {
    const { elsewhereMs, regionMs, paidLinkMs, runningMs, failureMs } = PLACEMENT_COSTS;
    const distanceMs = {
      domain: 0,
      region: regionMs + paidLinkMs,
      elsewhere: elsewhereMs + paidLinkMs,
    }[candidate.distance];
    const full = candidate.running >= candidate.slots ? failureMs : 0;
    return (
      distanceMs + candidate.running * runningMs + candidate.failureShare * failureMs + full
    );
  }

  static #findCheapest(priced: readonly Priced[]): Priced | undefined {
    let best: Priced | undefined;
    priced.forEach((next) => {
      best = best === undefined || next.costMs < best.costMs ? next : best;
    });
    return best;
  }
}
