/**
 * Keeps a share of a group's engines on prefill. Prompts outweigh answers by far in both users' work, and
 * an engine that decodes prefills at a third of the speed, so a group with too few prefill engines reads
 * most prompts slowly and between the tokens of other answers. Answers the steady load of long prompts.
 *
 * Engines are only ever moved towards prefill, one time each, and only when the shortage has lasted: an
 * engine that has crashed is usually back sooner, in the stage that it had.
 */
import type StagedEngine from './StagedEngine.js';

interface PrefillSharePlannerOptions {
  /** The share of the engines that is to prefill, 0 to 1. */
  readonly prefillFraction: number;
  /** Engines that decode are never fewer than this. */
  readonly minDecoding: number;
  /** How long a shortage lasts before it is acted on. */
  readonly settleMs: number;
  /** How long a chosen engine may take to change before another is chosen in its place. */
  readonly changeTimeoutMs: number;
}

/** The share of the decoding engines that may change at the same time; one may always. */
const MAX_CHANGING_FRACTION = 0.25;

export default class PrefillSharePlanner {
  readonly #options: PrefillSharePlannerOptions;

  readonly #chosenAtMs = new Map<string, number>();

  #shortSinceMs: number | undefined;

  constructor(options: PrefillSharePlannerOptions) {
    this.#options = options;
  }

  /** The engines that are to change to prefill now; the same on every node that sees the same engines. */
  plan(engines: readonly StagedEngine[], nowMs: number): readonly string[] {
    const { settleMs, changeTimeoutMs } = this.#options;
    const shortage = this.#countShortage(engines);
    if (shortage <= 0) {
      this.#shortSinceMs = undefined;
      return [];
    }
    this.#shortSinceMs ??= nowMs;
    if (nowMs - this.#shortSinceMs < settleMs) {
      return [];
    }
    const decoding = engines.filter(({ stage }) => stage === 'decode');
    const atOnce = Math.max(1, Math.floor(decoding.length * MAX_CHANGING_FRACTION));
    const eligible = engines.filter(
      ({ id }) => nowMs - (this.#chosenAtMs.get(id) ?? nowMs) < changeTimeoutMs,
    );
    const chosen = PrefillSharePlanner.#spread(eligible, Math.min(shortage, atOnce));
    chosen.forEach((id) => this.#chosenAtMs.set(id, this.#chosenAtMs.get(id) ?? nowMs));
    return chosen;
  }

  #countShortage(engines: readonly StagedEngine[]): number {
    const { prefillFraction, minDecoding } = this.#options;
    const wanted = Math.round(engines.length * prefillFraction);
    const prefilling = engines.filter(({ stage }) => stage === 'prefill').length;
    return Math.min(wanted, engines.length - minDecoding) - prefilling;
  }

  /** Takes each from the domain with the smallest share of prefill engines, since hand-overs are cheap there. */
  static #spread(engines: readonly StagedEngine[], count: number): readonly string[] {
    const chosen: string[] = [];
    const isPrefilling = ({ id, stage }: StagedEngine): boolean =>
      stage === 'prefill' || chosen.includes(id);
    const readShare = (domain: string): number => {
      const own = engines.filter((engine) => engine.domain === domain);
      return own.filter(isPrefilling).length / own.length;
    };
    const decoding = engines
      .filter(({ stage }) => stage === 'decode')
      .sort((a, b) => (a.id < b.id ? -1 : 1));
    while (chosen.length < count && chosen.length < decoding.length) {
      const left = decoding.filter(({ id }) => !chosen.includes(id));
      const shares = new Map(left.map(({ domain }) => [domain, readShare(domain)]));
      const least = Math.min(...shares.values());
      const next = left.find(({ domain }) => shares.get(domain) === least) ?? left[0];
      chosen.push(next.id);
    }
    return chosen;
  }
}
