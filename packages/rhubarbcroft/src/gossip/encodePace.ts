/** Encodes a sample of an endpoint's pace as small integers, since notices go to many peers. */
import type PaceNotice from '../decisions/pace/PaceNotice.js';
import PACE_MEASURES from './PACE_MEASURES.js';
import type WirePace from './WirePace.js';

export default function encodePace({ instanceId, measure, value }: PaceNotice): WirePace {
  return [instanceId, PACE_MEASURES.indexOf(measure), Math.round(value * 100)];
}
