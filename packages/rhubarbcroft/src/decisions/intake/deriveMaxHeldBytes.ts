/** Derives the bytes that a process may hold for callers from the memory of its machine. */

const BYTES_PER_MB = 1_048_576;
/** The program with the heap limit of its start command. */
const PROGRAM_MB = 150;
/** Three of the largest bodies that the pages allow, and the part for small requests. */
const MIN_HELD_BYTES = 16 * BYTES_PER_MB;
/** What has been dropped takes memory until it is collected. */
const HELD_SHARE = 0.5;

export default function deriveMaxHeldBytes(memoryMb: number): number {
  const freeBytes = (memoryMb - PROGRAM_MB) * BYTES_PER_MB;
  return Math.max(MIN_HELD_BYTES, Math.floor(freeBytes * HELD_SHARE));
}
