/** The pace of a model engine: the time between the events of its streams, and that of prefills against their estimate. */
import EndpointPace from './EndpointPace.js';
import MeasuredPace from './MeasuredPace.js';
import type PaceEstimate from './PaceEstimate.js';
import type PaceMeasure from './PaceMeasure.js';

export default class EnginePace extends EndpointPace {
  override readonly measures = ['step', 'prefill'] as const;

  readonly #estimates: ReadonlyMap<PaceMeasure, PaceEstimate> = new Map([
    ['step', new MeasuredPace()],
    ['prefill', new MeasuredPace()],
  ]);

  protected override find(measure: PaceMeasure): PaceEstimate | undefined {
    return this.#estimates.get(measure);
  }
}
