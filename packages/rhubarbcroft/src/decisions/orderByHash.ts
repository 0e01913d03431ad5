/** Orders candidates for a key by rendezvous hashing: the order depends on the key and is the same on every node. */
import createXxHash from 'xxhash-wasm';

const { h32 } = await createXxHash();

export default function orderByHash(key: string, candidates: readonly string[]): readonly string[] {
  const seed = h32(key);
  return candidates
    .map((candidate) => ({ candidate, score: h32(candidate, seed) }))
    .sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1))
    .map(({ candidate }) => candidate);
}
