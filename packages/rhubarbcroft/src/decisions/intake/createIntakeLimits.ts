/** Divides what a process may hold: a part of it is kept for small requests, which are most of the ordinary ones. */
import type IntakeLimits from './IntakeLimits.js';

const SMALL_BYTES = 262_144;
const RESERVED_SHARE = 0.25;

export default function createIntakeLimits(maxHeldBytes: number): IntakeLimits {
  const reservedBytes = Math.floor(maxHeldBytes * RESERVED_SHARE);
  return { maxHeldBytes, reservedBytes, smallBytes: SMALL_BYTES };
}
