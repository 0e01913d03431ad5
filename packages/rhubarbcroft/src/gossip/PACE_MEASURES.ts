/** The measures of pace by their index in notices; new ones are added at the end. */
import type PaceMeasure from '../decisions/pace/PaceMeasure.js';

const PACE_MEASURES: readonly PaceMeasure[] = ['reported', 'step', 'prefill', 'service'];

export default PACE_MEASURES;
