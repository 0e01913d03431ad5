/**
 * Draws the classes of faults of a run from its seed. With all of them at once, something is disturbed most of the
 * time, and the guarantees that apply without a disturbance are hardly checked.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import FAULT_CLASSES from './FAULT_CLASSES.js';
import type FaultClass from './FaultClass.js';

export default function drawFaultClasses(seed: number): readonly FaultClass[] {
  const random = xoroshiro128plus(seed);
  FAULT_CLASSES.forEach(() => random.jump());
  const first = FAULT_CLASSES[uniformInt(random, 0, FAULT_CLASSES.length - 1)];
  return FAULT_CLASSES.filter((name) => name === first || uniformInt(random, 0, 1) === 1);
}
