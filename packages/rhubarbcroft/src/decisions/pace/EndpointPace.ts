/**
 * What one node has learnt about the pace of one endpoint, by measure. The kinds of endpoints differ in what they can
 * be measured by.
 */
import type PaceEstimate from './PaceEstimate.js';
import type PaceMeasure from './PaceMeasure.js';
import ReportedPace from './ReportedPace.js';

/** The relative change that is reported to the peers, and the one that is logged. */
const NEWS_RATIO = 1.15;
const CHANGE_RATIO = 1.25;
const CHANGE_PERIOD_MS = 1_000;

interface PaceChange {
  readonly from: number | undefined;
  readonly to: number;
}

function isNear(value: number, known: number, ratio: number): boolean {
  return value < known * ratio && known < value * ratio;
}

abstract class EndpointPace {
  readonly #reported = new ReportedPace();

  readonly #changes = new Map<PaceMeasure, PaceChange>();

  #changedAtMs = -Infinity;

  /** The measures of this kind of endpoint other than its own reports, the most accurate first. */
  abstract readonly measures: readonly PaceMeasure[];

  protected abstract find(measure: PaceMeasure): PaceEstimate | undefined;

  /**
   * Records a sample of this node; returns whether to report it to the peers. Each measured one is reported, since
   * a node alone sees too few answers; a report only when it differs from the last one. An endpoint that reports its
   * pace need not be measured.
   */
  record(measure: PaceMeasure, value: number, nowMs: number): boolean {
    const estimate = this.#find(measure);
    const isUseless = measure !== 'reported' && this.#reported.last !== undefined;
    if (estimate === undefined || isUseless || !Number.isFinite(value) || value <= 0) {
      return false;
    }
    const known = estimate.last?.value ?? 1;
    estimate.record(value, nowMs);
    return measure !== 'reported' || !isNear(value, known, NEWS_RATIO);
  }

  /** The change of the settled estimate since the last one returned, if it is large; at most one in a second. */
  takeChange(measure: PaceMeasure, nowMs: number): PaceChange | undefined {
    const to = this.#find(measure)?.readSettled(nowMs);
    const from = this.#changes.get(measure)?.to;
    const known = from ?? (measure === 'reported' ? 1 : undefined);
    const isLarge = to !== undefined && (known === undefined || !isNear(to, known, CHANGE_RATIO));
    if (!isLarge || nowMs - this.#changedAtMs < CHANGE_PERIOD_MS) {
      return undefined;
    }
    const change = { from, to };
    this.#changes.set(measure, change);
    this.#changedAtMs = nowMs;
    return change;
  }

  /** Records what a peer has learnt. */
  recordFromPeer(measure: PaceMeasure, value: number, nowMs: number): void {
    const estimate = this.#find(measure);
    if (estimate !== undefined && Number.isFinite(value) && value > 0) {
      estimate.record(value, nowMs);
    }
  }

  /** The estimate by one measure, in its unit; undefined if this kind lacks it or too little was observed. */
  read(measure: PaceMeasure, nowMs: number): number | undefined {
    return this.#find(measure)?.read(nowMs);
  }

  #find(measure: PaceMeasure): PaceEstimate | undefined {
    return measure === 'reported' ? this.#reported : this.find(measure);
  }
}

export default EndpointPace;
