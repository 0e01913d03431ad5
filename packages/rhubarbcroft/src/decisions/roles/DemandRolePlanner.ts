/**
 * Plans roles from the offered prompt and output rates.
 *
 * For each split of the group into prefill, decode and mixed engines it computes the utilization of the
 * busiest pool. It changes one engine towards the best split if the saved engine time exceeds the time that
 * the changes cost. Mixed engines are the buffer: they serve the demand beyond the capacity of the other two
 * pools. Hysteresis, a minimum time in a role, and a budget limit the number of changes.
 */
import type EngineRole from '@rhubarbcroft/protocol/fleet/EngineRole';
import type Demand from './Demand.js';
import type EngineView from './EngineView.js';
import type RoleChange from './RoleChange.js';
import RolePlanner from './RolePlanner.js';

interface EngineThroughput {
  /** The prefill throughput of an engine that only prefills. */
  readonly prefillTokensPerS: number;
  /** The decode throughput of an engine that only decodes. */
  readonly decodeTokensPerS: number;
  /** The throughputs of a mixed engine; the shares of its time that prefill and decode take add up. */
  readonly mixedPrefillTokensPerS: number;
  readonly mixedDecodeTokensPerS: number;
  /** The decode throughput that a mixed engine's slots allow, even if it does not prefill. */
  readonly maxMixedDecodeTokensPerS: number;
}

interface DemandRolePlannerOptions extends EngineThroughput {
  /** How long a role change takes an engine out of service. */
  readonly changeMs: number;
  /** How long a new split is expected to remain useful. */
  readonly horizonMs: number;
  readonly minTimeInRoleMs: number;
  readonly changesPerHour: number;
  /** Roles change only if a pool's mean backlog exceeds this, or its slot utilization `triggerSlotUtilization`. */
  readonly triggerBacklogMs: number;
  /** Roles change only if the estimated utilization of the busiest pool is at least this. */
  readonly triggerUtilization: number;
  readonly triggerSlotUtilization: number;
  /** The minimum number of mixed engines in a split. */
  readonly minMixedEngines: number;
}

interface Split {
  readonly prefill: number;
  readonly decode: number;
  readonly mixed: number;
}

const ROLES: readonly EngineRole[] = ['prefill', 'decode', 'mixed'];
const HOUR_MS = 3_600_000;
/** The fraction by which a split must reduce the utilization, larger in an overload that no split can serve. */
const MIN_GAIN = 0.1;
const MIN_GAIN_IN_OVERLOAD = 0.3;
const OVERLOAD_UTILIZATION = 1.1;
/** The utilization that each role change of a split counts as. */
const CHANGE_PENALTY = 0.02;
/** The upper end of the search for a split's utilization. */
const MAX_UTILIZATION = 20;

export default class DemandRolePlanner extends RolePlanner {
  readonly #options: DemandRolePlannerOptions;

  #changedAtMs: readonly number[] = [];

  constructor(options: DemandRolePlannerOptions) {
    super();
    this.#options = options;
  }

  override plan(
    engines: readonly EngineView[],
    demand: Demand,
    nowMs: number,
  ): RoleChange | undefined {
    const { changesPerHour } = this.#options;
    this.#changedAtMs = this.#changedAtMs.filter((atMs) => nowMs - atMs < HOUR_MS);
    const usable = engines.filter((engine) => engine.available);
    const isChanging = engines.some((engine) => engine.changing);
    if (isChanging || usable.length < 2 || this.#changedAtMs.length >= changesPerHour) {
      return undefined;
    }
    if (!this.#isOverloaded(usable)) {
      return undefined;
    }
    const current = DemandRolePlanner.#countRoles(usable);
    const best = this.#findBestSplit(usable.length, current, demand);
    if (!this.#paysOff(current, best, usable.length, demand)) {
      return undefined;
    }
    return this.#findMove(usable, current, best, nowMs);
  }

  override recordChange(_change: RoleChange, nowMs: number): void {
    this.#changedAtMs = [...this.#changedAtMs, nowMs];
  }

  /** Whether the engines' load reports show that a pool is overloaded. */
  #isOverloaded(engines: readonly EngineView[]): boolean {
    const { triggerBacklogMs, triggerSlotUtilization } = this.#options;
    return ROLES.some((role) => {
      const pool = engines.filter((engine) => engine.role === role);
      const backlogMs = pool.reduce((sum, engine) => sum + engine.backlogMs, 0) / pool.length;
      const slotUtilization =
        pool.reduce((sum, engine) => sum + engine.slotUtilization, 0) / pool.length;
      return backlogMs > triggerBacklogMs || slotUtilization > triggerSlotUtilization;
    });
  }

  static #countRoles(engines: readonly EngineView[]): Split {
    const count = (role: EngineRole): number =>
      engines.filter((engine) => engine.role === role).length;
    return { prefill: count('prefill'), decode: count('decode'), mixed: count('mixed') };
  }

  #findBestSplit(total: number, current: Split, demand: Demand): Split {
    let best = current;
    let lowest = this.#computeUtilization(current, demand);
    for (const split of DemandRolePlanner.#listSplits(total).filter((each) =>
      this.#isValid(each),
    )) {
      const moves =
        Math.abs(split.prefill - current.prefill) + Math.abs(split.decode - current.decode);
      const utilization = this.#computeUtilization(split, demand) + moves * CHANGE_PENALTY;
      if (utilization < lowest) {
        best = split;
        lowest = utilization;
      }
    }
    return best;
  }

  static #listSplits(total: number): readonly Split[] {
    const counts = Array.from({ length: total + 1 }, (_unused, count) => count);
    return counts.flatMap((prefill) =>
      counts
        .filter((decode) => prefill + decode <= total)
        .map((decode) => ({ prefill, decode, mixed: total - prefill - decode })),
    );
  }

  /** Whether a split can serve complete requests: it has mixed engines, or both prefill and decode engines. */
  #isValid({ prefill, decode, mixed }: Split): boolean {
    const isPaired = (prefill === 0) === (decode === 0);
    return mixed >= this.#options.minMixedEngines && (mixed > 0 || (prefill > 0 && isPaired));
  }

  /** The utilization of the busiest pool; above 1 the split cannot serve the demand. */
  #computeUtilization({ prefill, decode, mixed }: Split, demand: Demand): number {
    const { prefillTokensPerS, decodeTokensPerS } = this.#options;
    const neededPrefill = demand.promptTokensPerS / prefillTokensPerS;
    const neededDecode = demand.outputTokensPerS / decodeTokensPerS;
    if (mixed === 0) {
      return Math.max(
        neededPrefill / Math.max(prefill, 1e-9),
        neededDecode / Math.max(decode, 1e-9),
        0,
      );
    }
    let low = 0;
    let high = MAX_UTILIZATION;
    for (let step = 0; step < 24; step += 1) {
      const utilization = (low + high) / 2;
      const remainingPrompt =
        Math.max(0, neededPrefill - prefill * utilization) * prefillTokensPerS;
      const remainingOutput = Math.max(0, neededDecode - decode * utilization) * decodeTokensPerS;
      if (this.#computeMixedEngines(remainingPrompt, remainingOutput) > mixed * utilization) {
        low = utilization;
      } else {
        high = utilization;
      }
    }
    return high;
  }

  /** The number of fully utilized mixed engines that a demand needs. */
  #computeMixedEngines(promptTokensPerS: number, outputTokensPerS: number): number {
    const { mixedPrefillTokensPerS, mixedDecodeTokensPerS, maxMixedDecodeTokensPerS } =
      this.#options;
    const byTime =
      promptTokensPerS / mixedPrefillTokensPerS + outputTokensPerS / mixedDecodeTokensPerS;
    return Math.max(byTime, outputTokensPerS / maxMixedDecodeTokensPerS);
  }

  /** Whether the engine time saved by the better split exceeds the time that the changes cost. */
  #paysOff(current: Split, best: Split, total: number, demand: Demand): boolean {
    const { horizonMs, changeMs, triggerUtilization } = this.#options;
    const moves = Math.abs(best.prefill - current.prefill) + Math.abs(best.decode - current.decode);
    const utilization = this.#computeUtilization(current, demand);
    if (moves === 0 || utilization < triggerUtilization) {
      return false;
    }
    const bestUtilization = this.#computeUtilization(best, demand);
    const savedMs = (utilization - bestUtilization) * total * horizonMs;
    const minGain = bestUtilization > OVERLOAD_UTILIZATION ? MIN_GAIN_IN_OVERLOAD : MIN_GAIN;
    return bestUtilization < utilization * (1 - minGain) && savedMs > moves * changeMs;
  }

  #findMove(
    engines: readonly EngineView[],
    current: Split,
    best: Split,
    nowMs: number,
  ): RoleChange | undefined {
    const missing = ROLES.map((role) => ({ role, count: best[role] - current[role] })).sort(
      (a, b) => b.count - a.count,
    );
    const [{ role, count }] = missing;
    if (count <= 0) {
      return undefined;
    }
    const movable = engines
      .filter((engine) => best[engine.role] < current[engine.role])
      .filter((engine) => nowMs - engine.roleSinceMs >= this.#options.minTimeInRoleMs)
      .sort((a, b) => a.running - b.running);
    return movable.length === 0 ? undefined : { engineId: movable[0].id, role };
  }
}
