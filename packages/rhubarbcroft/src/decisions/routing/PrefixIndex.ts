/**
 * Maps prompt prefixes to the endpoints that probably have them cached, from this node's own dispatches and
 * from cache events. Bounded: the least recently recorded prefixes are evicted.
 */
const MAX_PREFIXES = 8_192;
const MAX_ENDPOINTS_PER_PREFIX = 3;

export default class PrefixIndex {
  readonly #endpointIds = new Map<string, readonly string[]>();

  /** Records that the endpoint has these prefixes cached. */
  record(prefixKeys: readonly string[], endpointId: string): void {
    for (const key of prefixKeys) {
      const others = (this.#endpointIds.get(key) ?? []).filter((other) => other !== endpointId);
      this.#endpointIds.delete(key);
      this.#endpointIds.set(key, [endpointId, ...others].slice(0, MAX_ENDPOINTS_PER_PREFIX));
    }
    this.#evict();
  }

  /** Records that the endpoint no longer has the prefix cached. */
  remove(prefixKey: string, endpointId: string): void {
    const others = (this.#endpointIds.get(prefixKey) ?? []).filter((other) => other !== endpointId);
    if (others.length === 0) {
      this.#endpointIds.delete(prefixKey);
    } else {
      this.#endpointIds.set(prefixKey, others);
    }
  }

  /** The number of cached blocks, by the id of each endpoint that has a prefix of the prompt cached. */
  countCachedBlocks(prefixKeys: readonly string[]): ReadonlyMap<string, number> {
    const blocks = new Map<string, number>();
    prefixKeys.forEach((key, index) => {
      for (const endpoint of this.#endpointIds.get(key) ?? []) {
        blocks.set(endpoint, index + 1);
      }
    });
    return blocks;
  }

  get size(): number {
    return this.#endpointIds.size;
  }

  #evict(): void {
    for (const key of this.#endpointIds.keys()) {
      if (this.#endpointIds.size <= MAX_PREFIXES) {
        return;
      }
      this.#endpointIds.delete(key);
    }
  }
}
