/** Decodes a sample of an endpoint's pace; undefined if this node does not know its measure. */
import type PaceNotice from '../decisions/pace/PaceNotice.js';
import PACE_MEASURES from './PACE_MEASURES.js';
import type WirePace from './WirePace.js';

export default function parsePace([instanceId, index, hundredths]: WirePace):
  PaceNotice | undefined {
  const measure = PACE_MEASURES[index];
  return measure && { instanceId, measure, value: hundredths / 100 };
}
