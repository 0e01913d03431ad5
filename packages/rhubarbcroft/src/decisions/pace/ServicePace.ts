/** The pace of a plain service's endpoint: the time of its complete answers. */
import EndpointPace from './EndpointPace.js';
import MeasuredPace from './MeasuredPace.js';
import type PaceEstimate from './PaceEstimate.js';
import type PaceMeasure from './PaceMeasure.js';

export default class ServicePace extends EndpointPace {
  override readonly measures = ['service'] as const;

  readonly #service = new MeasuredPace();

  protected override find(measure: PaceMeasure): PaceEstimate | undefined {
    return measure === 'service' ? this.#service : undefined;
  }
}
