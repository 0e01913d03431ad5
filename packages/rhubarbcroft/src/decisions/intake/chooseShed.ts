/**
 * Chooses the request that gives way when the process holds as much as it may. Answers crowds of bodies that stop short
 * of their end and of answers that are not read: the largest of those that stand still gives way first, then the
 * largest of the others. A request that is running keeps what it holds, because it may not be called not run.
 */
import type HeldRequest from './HeldRequest.js';

/** A caller on a slow link sends or takes something within a second. */
const STALLED_MS = 1_000;

function findLargest<Held extends HeldRequest>(requests: readonly Held[]): Held | undefined {
  return requests.reduce<Held | undefined>(
    (largest, request) =>
      largest === undefined || request.heldBytes > largest.heldBytes ? request : largest,
    undefined,
  );
}

/**
 * @param requests - All held requests.
 * @param neededBytes - What the request that asks for room would hold.
 * @returns Undefined when the request that asks has to give way.
 */
export default function chooseShed<Held extends HeldRequest>(
  requests: readonly Held[],
  neededBytes: number,
  nowMs: number,
): Held | undefined {
  const candidates = requests.filter(({ phase }) => phase !== 'running');
  const stalled = candidates.filter(({ movedAtMs }) => nowMs - movedAtMs >= STALLED_MS);
  const largest = findLargest(candidates);
  return (
    findLargest(stalled) ??
    (largest !== undefined && largest.heldBytes > neededBytes ? largest : undefined)
  );
}
