/**
 * Chooses the owner of a key among nodes by rendezvous hashing: each node gets a score for the key, and the
 * highest score wins. When a node is removed, only the keys that it owned change their owner.
 */
import createXxHash from 'xxhash-wasm';

const { h32 } = await createXxHash();

/** Returns the owner, independent of the order of the nodes; undefined if there are no nodes. */
export default function chooseOwner(key: string, nodes: readonly string[]): string | undefined {
  const seed = h32(key);
  let owner: string | undefined;
  let highest = -1;
  for (const node of nodes) {
    const score = h32(node, seed);
    const wins = score > highest || (score === highest && owner !== undefined && node < owner);
    if (wins) {
      highest = score;
      owner = node;
    }
  }
  return owner;
}
