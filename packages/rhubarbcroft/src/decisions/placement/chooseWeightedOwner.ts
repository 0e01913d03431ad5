/**
 * Chooses the owner of a shared prompt part among engines by weighted rendezvous hashing, so that requests
 * with the same part reach the same engine without coordination between nodes. When an engine is added or
 * removed, only the parts that it owns change their owner.
 */
import createXxHash from 'xxhash-wasm';

interface WeightedCandidate {
  readonly id: string;
  /** The engine's share of the parts, in proportion to the other weights. */
  readonly weight: number;
}

const { h32 } = await createXxHash();
const HASH_RANGE = 2 ** 32;

export default function chooseWeightedOwner(
  key: string,
  candidates: readonly WeightedCandidate[],
): string | undefined {
  const seed = h32(key);
  let owner: string | undefined;
  let highest = -Infinity;
  candidates.forEach(({ id, weight }) => {
    const uniform = (h32(id, seed) + 1) / (HASH_RANGE + 1);
    const score = -weight / Math.log(uniform);
    if (score > highest) {
      highest = score;
      owner = id;
    }
  });
  return owner;
}
