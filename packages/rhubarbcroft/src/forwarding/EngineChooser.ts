/**
 * Chooses the engines of a prompt. The content of an engine's KV cache is derived from this node's own
 * dispatches and the notices of its peers. A shared part that appears in neither is assumed to be cached at its
 * owner by rendezvous hashing, since the other nodes dispatch to the owner too. Engines that are leaving receive
 * no prompts, but their KV caches can still be copied.
 */
import chooseWeightedOwner from '../decisions/placement/chooseWeightedOwner.js';
import type MemoryHold from '../decisions/room/MemoryHold.js';
import type EngineCandidate from '../decisions/placement/EngineCandidate.js';
import type Prompt from '../decisions/placement/Prompt.js';
import type PromptPart from '../decisions/placement/PromptPart.js';
import type PromptPlacement from '../decisions/placement/PromptPlacement.js';
import type InstanceState from '../instances/InstanceState.js';
import EndpointChooser from './EndpointChooser.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardRequest from './ForwardRequest.js';
import type Placement from './Placement.js';
import type AttemptHistory from './AttemptHistory.js';
import listCandidates from './listCandidates.js';
import readPaces from './readPaces.js';

/** Estimated share of the shared parts that the owner has cached although this node did not dispatch them there. */
const OWNER_CACHED_FRACTION = 0.8;
/**
 * Further discount for parts that would be copied from an owner. A part that no engine is known to have cached
 * is better prefilled at its owner, where the other nodes expect it, than copied to another engine.
 */
const OWNER_COPYABLE_FRACTION = 0.6;
/** Age at which an engine has cached most of the parts that it owns, since parts recur within about this time. */
const OWNER_WARM_UP_MS = 10_000;
/** The share of an ordered service's engines that must be that old for the others to own no parts yet. */
const MIN_WARM_SHARE = 0.5;
/** Weight of an engine in rendezvous hashing, by its prefill speed. */
const OWNER_WEIGHTS = { prefill: 1, decode: 0.25 } as const;

function listSharedParts(prompt: Prompt): readonly PromptPart[] {
  return prompt.parts.slice(0, -1);
}

/** The memory that a prompt takes while it runs. */
function describeMemory(prompt: Prompt): Omit<MemoryHold, 'endsAtMs'> {
  const ownTokens = (prompt.parts.at(-1)?.tokens ?? 0) + prompt.outputTokens;
  return { sharedParts: listSharedParts(prompt), ownTokens };
}

/** What is the same for all engines of a choice. */
interface DescribedPrompt {
  readonly rank: number;
  readonly memory: ReturnType<typeof describeMemory>;
  /** Tokens of the parts that other prompts may share. */
  readonly sharedTokens: number;
}

export default class EngineChooser extends EndpointChooser {
  readonly #context: ForwardContext;

  readonly #placement: PromptPlacement;

  constructor(context: ForwardContext, placement: PromptPlacement) {
    super();
    this.#context = context;
    this.#placement = placement;
  }

  override choose(
    request: ForwardRequest,
    { triedIds, sends }: AttemptHistory,
  ): Placement | undefined {
    const { registry, clock } = this.#context;
    const { prompt, rank, service } = request;
    if (prompt === undefined) {
      return undefined;
    }
    const states = listCandidates(registry, service, triedIds, clock.nowMs());
    // Only the first prefill call of a request is exempt from the retry budget, so later attempts use one engine.
    const allowed =
      sends === 0 ? states : states.filter(({ instance }) => instance.stage !== 'prefill');
    const leaving = registry.listLeaving(service);
    const ownerId = this.#findOwner(prompt, service, [
      ...registry.listAvailable(service),
      ...leaving,
    ]);
    const paces = readPaces([...allowed, ...leaving], clock.nowMs());
    const described = {
      rank,
      memory: describeMemory(prompt),
      sharedTokens: listSharedParts(prompt).reduce((sum, { tokens }) => sum + tokens, 0),
    };
    const describe = (state: InstanceState): EngineCandidate => {
      const { id } = state.instance;
      return this.#describe(state, prompt, described, id === ownerId, paces.get(id) ?? 1);
    };
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
    const { prefillMs, pace, expectedFirstTokenMs: expectedMs } = plan;
    return { target, prefill, copyFrom, prefillMs, pace, expectedMs };
  }

  /**
   * The id of the engine that is assumed to have cached the shared parts: their owner among the engines that
   * have run for at least `OWNER_WARM_UP_MS`. An engine that has just started has an empty cache, and the parts
   * that it will own are still cached at their previous owner.
   */
  #findOwner(
    prompt: Prompt,
    service: string,
    states: readonly InstanceState[],
  ): string | undefined {
    const shared = listSharedParts(prompt).at(-1);
    if (shared === undefined) {
      return undefined;
    }
    const startedBeforeMs = this.#context.clock.unixMs() - OWNER_WARM_UP_MS;
    const isWarm = ({ instance }: InstanceState): boolean => instance.startedAtMs < startedBeforeMs;
    const isReplaced = this.#isReplaced(service, isWarm);
    const owners = (
      isReplaced ? this.#context.registry.listAvailable(service) : states.filter(isWarm)
    ).map(({ instance }) => ({
      id: instance.id,
      weight: OWNER_WEIGHTS[instance.stage ?? 'decode'],
    }));
    return chooseWeightedOwner(shared.id, owners);
  }

  /**
   * Whether most engines of a service whose replicas are ordered have just started. The few others can't own all parts, so
   * the new ones own theirs at once.
   */
  #isReplaced(service: string, isWarm: (state: InstanceState) => boolean): boolean {
    const { registry, routing } = this.#context;
    const states = registry.listAvailable(service);
    const isOrdered = routing.current?.findService(service)?.scaling !== undefined;
    return isOrdered && states.filter(isWarm).length < states.length * MIN_WARM_SHARE;
  }

  #describe(
    state: InstanceState,
    prompt: Prompt,
    { rank, memory, sharedTokens }: DescribedPrompt,
    isOwner: boolean,
    pace: number,
  ): EngineCandidate {
    const { clock } = this.#context;
    const nowMs = clock.nowMs();
    const { instance } = state;
    const stage = instance.stage ?? 'decode';
    const memoryWaitMs = state.memory.estimateWaitMs(memory, nowMs);
    const knownTokens = state.kvCache.countCachedTokens(prompt.parts);
    const assumedTokens = isOwner ? sharedTokens * OWNER_CACHED_FRACTION : 0;
    return {
      id: instance.id,
      domain: instance.domain,
      stage,
      takesWork: true,
      slots: instance.slots,
      running: state.estimateRunning(nowMs),
      waitMs: Math.max(state.estimatePrefillWaitMs(rank, nowMs), memoryWaitMs),
      prefillBacklogMs: state.prefillQueue.estimateWaitMs(Infinity, nowMs),
      cachedTokens: Math.max(assumedTokens, knownTokens),
      copyableTokens: Math.max(assumedTokens * OWNER_COPYABLE_FRACTION, knownTokens),
      failureShare: state.health.readFailureShare(nowMs),
      pace,
    };
  }
}
