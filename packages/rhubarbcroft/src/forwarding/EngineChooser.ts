/**
 * Chooses the engines of a prompt. What an engine's cache holds is known from this node's own sends; for
 * a shared part that this node has not sent yet, its home by rendezvous hashing is taken to hold it
 * already, since the other nodes of the domain send there too.
 */
import chooseHome from '../decisions/placement/chooseHome.js';
import type EngineCandidate from '../decisions/placement/EngineCandidate.js';
import type Prompt from '../decisions/placement/Prompt.js';
import type PromptPart from '../decisions/placement/PromptPart.js';
import type PromptPlacement from '../decisions/placement/PromptPlacement.js';
import type InstanceState from '../instances/InstanceState.js';
import EndpointChooser from './EndpointChooser.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardRequest from './ForwardRequest.js';
import type Placement from './Placement.js';
import type Tried from './Tried.js';
import listUsable from './listUsable.js';

/** How far it is believed that a home holds a part which this node has not sent there. */
const HOME_TRUST = 0.8;
/** The share of homes that an engine gets, by how fast it prefills. */
const HOME_WEIGHTS = { prefill: 1, decode: 0.25 } as const;

function listShared(prompt: Prompt): readonly PromptPart[] {
  return prompt.parts.slice(0, -1);
}

export default class EngineChooser extends EndpointChooser {
  readonly #context: ForwardContext;

  readonly #placement: PromptPlacement;

  constructor(context: ForwardContext, placement: PromptPlacement) {
    super();
    this.#context = context;
    this.#placement = placement;
  }

  override choose(request: ForwardRequest, { failedIds, sends }: Tried): Placement | undefined {
    const { registry, clock } = this.#context;
    const { prompt, route, service } = request;
    if (prompt === undefined) {
      return undefined;
    }
    const states = listUsable(registry, service, failedIds, clock.nowMs());
    const homeId = this.#findHome(prompt, states);
    // Only the first prefill of a request is free of the retry budget: later attempts go to one engine.
    const allowed =
      sends === 0 ? states : states.filter(({ instance }) => instance.stage !== 'prefill');
    const candidates = allowed.map((state) =>
      this.#describe(state, prompt, route.rank, state.instance.id === homeId),
    );
    const plan = this.#placement.choose(prompt, candidates);
    const target = states.find(({ instance }) => instance.id === plan?.engineId);
    if (plan === undefined || target === undefined) {
      return undefined;
    }
    const prefill = states.find(({ instance }) => instance.id === plan.prefillId);
    const copyFrom = states.find(({ instance }) => instance.id === plan.copyFromId);
    const { prefillMs, expectedFirstTokenMs: expectedMs } = plan;
    return { target, prefill, copyFrom, prefillMs, expectedMs };
  }

  #findHome(prompt: Prompt, states: readonly InstanceState[]): string | undefined {
    const shared = listShared(prompt).at(-1);
    if (shared === undefined) {
      return undefined;
    }
    const homes = states.map(({ instance }) => ({
      id: instance.id,
      weight: HOME_WEIGHTS[instance.stage ?? 'decode'],
    }));
    return chooseHome(shared.id, homes);
  }

  #describe(state: InstanceState, prompt: Prompt, rank: number, isHome: boolean): EngineCandidate {
    const { clock } = this.#context;
    const nowMs = clock.nowMs();
    const { instance } = state;
    const stage = instance.stage ?? 'decode';
    const sharedTokens = listShared(prompt).reduce((sum, { tokens }) => sum + tokens, 0);
    const assumedTokens = isHome ? sharedTokens * HOME_TRUST : 0;
    return {
      id: instance.id,
      domain: instance.domain,
      stage,
      slots: instance.slots,
      running: state.estimateRunning(nowMs),
      waitMs: state.estimateWaitMs(rank, nowMs),
      prefillingMs: state.queue.readWaitMs(Infinity, nowMs),
      cachedTokens: Math.max(assumedTokens, state.cache.countCached(prompt.parts)),
      failureShare: state.health.readFailureShare(nowMs),
    };
  }
}
