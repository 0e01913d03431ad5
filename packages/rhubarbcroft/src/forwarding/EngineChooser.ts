/**
 * Chooses the engines of a prompt. What an engine's cache holds is known from this node's own sends and its
 * peers' notices; for a shared part that neither tells of, its home by rendezvous hashing is taken to hold
 * it already, since the other nodes send there too. Engines that leave are still copied from.
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
/**
 * How far a copy from a home is counted on beside that: where nobody is known to hold a part, it is better
 * read at its home, where the other nodes look for it, than copied away from it.
 */
const COPY_TRUST = 0.6;
/** By when an engine has been asked for most of the parts that it is the home of: they come back in about this time. */
const SETTLED_MS = 10_000;
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
    // Only the first prefill of a request is free of the retry budget: later attempts go to one engine.
    const allowed =
      sends === 0 ? states : states.filter(({ instance }) => instance.stage !== 'prefill');
    const leaving = registry.listLeaving(service);
    const holderId = this.#findHolder(prompt, [...registry.listAvailable(service), ...leaving]);
    const describe = (state: InstanceState): EngineCandidate =>
      this.#describe(state, prompt, route.rank, state.instance.id === holderId);
    const plan = this.#placement.choose(prompt, [
      ...allowed.map(describe),
      ...leaving.map((state) => ({ ...describe(state), takesWork: false })),
    ]);
    const target = states.find(({ instance }) => instance.id === plan?.engineId);
    if (plan === undefined || target === undefined) {
      return undefined;
    }
    const prefill = states.find(({ instance }) => instance.id === plan.prefillId);
    const copyFrom = plan.copyFromId === undefined ? undefined : registry.find(plan.copyFromId);
    const { prefillMs, expectedFirstTokenMs: expectedMs } = plan;
    return { target, prefill, copyFrom, prefillMs, expectedMs };
  }

  /**
   * The engine that is taken to hold the shared parts: their home among those that have run for a while. One
   * that has just started holds nothing yet, and what it is to be the home of is still where it was.
   */
  #findHolder(prompt: Prompt, states: readonly InstanceState[]): string | undefined {
    const shared = listShared(prompt).at(-1);
    if (shared === undefined) {
      return undefined;
    }
    const settledBeforeMs = this.#context.clock.unixMs() - SETTLED_MS;
    const homes = states
      .filter(({ instance }) => instance.startedAtMs < settledBeforeMs)
      .map(({ instance }) => ({
        id: instance.id,
        weight: HOME_WEIGHTS[instance.stage ?? 'decode'],
      }));
    return chooseHome(shared.id, homes);
  }

  #describe(
    state: InstanceState,
    prompt: Prompt,
    rank: number,
    isHolder: boolean,
  ): EngineCandidate {
    const { clock } = this.#context;
    const nowMs = clock.nowMs();
    const { instance } = state;
    const stage = instance.stage ?? 'decode';
    const sharedTokens = listShared(prompt).reduce((sum, { tokens }) => sum + tokens, 0);
    const knownTokens = state.cache.countCached(prompt.parts);
    const assumedTokens = isHolder ? sharedTokens * HOME_TRUST : 0;
    return {
      id: instance.id,
      domain: instance.domain,
      stage,
      takesWork: true,
      slots: instance.slots,
      running: state.estimateRunning(nowMs),
      waitMs: state.estimateWaitMs(rank, nowMs),
      prefillingMs: state.queue.readWaitMs(Infinity, nowMs),
      cachedTokens: Math.max(assumedTokens, knownTokens),
      copyableTokens: Math.max(assumedTokens * COPY_TRUST, knownTokens),
      failureShare: state.health.readFailureShare(nowMs),
    };
  }
}
