/**
 * Keeps a share of a group's engines in the prefill stage. Prompts outweigh answers by far in the expected
 * workloads, and a decode engine prefills at a third of the speed of a prefill engine. With too few prefill
 * engines most prompts would be prefilled slowly, between the decode steps of other answers. Designed for a
 * steady load of long prompts.
 *
 * Engines change to prefill only, each at most once, and only after a shortage has lasted for a while, since
 * a crashed engine usually returns sooner, in its previous stage.
 */
import type StagedEngine from './StagedEngine.js';

interface PrefillSharePlannerOptions {
  /** The target share of prefill engines, 0 to 1. */
  readonly prefillFraction: number;
  /** The minimum number of decode engines. */
  readonly minDecodeEngines: number;
  /** How long a shortage must last before engines are changed. */
  readonly shortageDelayMs: number;
  /** How long a chosen engine may take to change; afterwards another one is chosen instead. */
  readonly changeTimeoutMs: number;
}

/** The share of the decode engines that may change at the same time; at least one always may. */
const MAX_CHANGING_FRACTION = 0.25;

export default class PrefillSharePlanner {
  readonly #options: PrefillSharePlannerOptions;

  readonly #chosenAtMs = new Map<string, number>();

  #shortageSinceMs: number | undefined;

  constructor(options: PrefillSharePlannerOptions) {
    this.#options = options;
  }

  /** The ids of the engines that should change to prefill now; the same on every node with the same engine list. */
  plan(engines: readonly StagedEngine[], nowMs: number): readonly string[] {
    const { shortageDelayMs, changeTimeoutMs } = this.#options;
    const shortage = this.#countShortage(engines);
    if (shortage <= 0) {
      this.#shortageSinceMs = undefined;
      return [];
    }
    this.#shortageSinceMs ??= nowMs;
    if (nowMs - this.#shortageSinceMs < shortageDelayMs) {
      return [];
    }
    const decoding = engines.filter(({ stage }) => stage === 'decode');
    const maxChanging = Math.max(1, Math.floor(decoding.length * MAX_CHANGING_FRACTION));
    const eligible = engines.filter(
      ({ id }) => nowMs - (this.#chosenAtMs.get(id) ?? nowMs) < changeTimeoutMs,
    );
    const chosen = PrefillSharePlanner.#spread(eligible, Math.min(shortage, maxChanging));
    chosen.forEach((id) => this.#chosenAtMs.set(id, this.#chosenAtMs.get(id) ?? nowMs));
    return chosen;
  }

  #countShortage(engines: readonly StagedEngine[]): number {
    const { prefillFraction, minDecodeEngines } = this.#options;
    const target = Math.round(engines.length * prefillFraction);
    const prefilling = engines.filter(({ stage }) => stage === 'prefill').length;
    return Math.min(target, engines.length - minDecodeEngines) - prefilling;
  }

  /**
   * Chooses each engine from the domain with the smallest share of prefill engines, so that KV transfers stay
   * inside a domain, where they are cheap. Within a domain, engines that can be reclaimed change first: the others
   * remain to answer when a domain's are reclaimed.
   */
  static #spread(engines: readonly StagedEngine[], count: number): readonly string[] {
    const chosen: string[] = [];
    const isPrefilling = ({ id, stage }: StagedEngine): boolean =>
      stage === 'prefill' || chosen.includes(id);
    const readShare = (domain: string): number => {
      const inDomain = engines.filter((engine) => engine.domain === domain);
      return inDomain.filter(isPrefilling).length / inDomain.length;
    };
    const decoding = engines
      .filter(({ stage }) => stage === 'decode')
      .sort(
        (a, b) => Number(b.isSpot ?? false) - Number(a.isSpot ?? false) || (a.id < b.id ? -1 : 1),
      );
    while (chosen.length < count && chosen.length < decoding.length) {
      const remaining = decoding.filter(({ id }) => !chosen.includes(id));
      const shares = new Map(remaining.map(({ domain }) => [domain, readShare(domain)]));
      const lowest = Math.min(...shares.values());
      const next = remaining.find(({ domain }) => shares.get(domain) === lowest) ?? remaining[0];
      chosen.push(next.id);
    }
    return chosen;
  }
}
