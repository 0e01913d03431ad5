/**
 * The pace that an endpoint reports with its answers. A report holds for a short time only: the estimate returns from
 * the last one to the usual pace, the median of the recent reports, so that a spell of slowness is left as quickly as
 * it is noticed. Without further reports the usual pace is forgotten too, so that the endpoint is tried again.
 */
import PaceEstimate from './PaceEstimate.js';

/** Time constant of the return from the last report to the usual pace: half of a usual spell of slowness. */
const SPELL_DECAY_MS = 300;
/** The reports that decide on the usual pace, which a busy endpoint makes in a second. */
const MAX_REPORTS = 9;
/** Reports older than this say nothing of the usual pace if there are newer ones. */
const USUAL_WINDOW_MS = 4_000;
/** Silence after which the usual pace is forgotten, and the time constant of that. */
const FORGET_AFTER_MS = 2_000;
const FORGET_DECAY_MS = 3_000;

export default class ReportedPace extends PaceEstimate {
  /** The median of the reports before the last one was made; the lower one of two. */
  #usual = 1;

  override record(value: number, nowMs: number): void {
    super.record(value, nowMs);
    const values = this.samples
      .slice(-MAX_REPORTS)
      .filter(({ atMs }) => nowMs - atMs <= USUAL_WINDOW_MS)
      .map((sample) => sample.value)
      .sort((a, b) => a - b);
    this.#usual = values[Math.floor((values.length - 1) / 2)];
  }

  override read(nowMs: number): number | undefined {
    const { last } = this;
    if (last === undefined) {
      return undefined;
    }
    const silentMs = Math.max(0, nowMs - last.atMs);
    const usual = this.#usual;
    const remembered = Math.exp(-Math.max(0, silentMs - FORGET_AFTER_MS) / FORGET_DECAY_MS);
    const current = (last.value - usual) * Math.exp(-silentMs / SPELL_DECAY_MS);
    return 1 + (usual - 1) * remembered + current;
  }

  override readSettled(): number | undefined {
    return this.last && this.#usual;
  }
}
