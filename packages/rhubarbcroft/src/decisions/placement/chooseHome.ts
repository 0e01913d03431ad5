/**
 * The engine at which requests that share a part of their prompts meet without exchange: weighted
 * rendezvous hashing, so that an engine that comes or goes moves only its own parts.
 */
import createXxHash from 'xxhash-wasm';

interface HomeCandidate {
  readonly id: string;
  /** How large a share of the parts it gets, in proportion to the others. */
  readonly weight: number;
}

const { h32 } = await createXxHash();
const HASH_RANGE = 2 ** 32;

export default function chooseHome(
  key: string,
  candidates: readonly HomeCandidate[],
): string | undefined {
  const seed = h32(key);
  let home: string | undefined;
  let highest = -Infinity;
  candidates.forEach(({ id, weight }) => {
    const uniform = (h32(id, seed) + 1) / (HASH_RANGE + 1);
    const score = -weight / Math.log(uniform);
    if (score > highest) {
      highest = score;
      home = id;
    }
  });
  return home;
}
