/** The engine's prompt-prefix cache: fixed-size blocks with least-recently-used eviction. */
interface CacheEvent {
  readonly type: 'stored' | 'evicted';
  readonly key: string;
}

export default class BlockCache {
  readonly #capacityBlocks: number;

  readonly #keys = new Set<string>();

  #events: readonly CacheEvent[] = [];

  /** @param capacityBlocks how many blocks are kept at most. */
  constructor(capacityBlocks: number) {
    this.#capacityBlocks = capacityBlocks;
  }

  /** Number of leading blocks of the prompt that are cached. */
  countCachedBlocks(prefixKeys: readonly string[]): number {
    const firstMissing = prefixKeys.findIndex((key) => !this.#keys.has(key));
    return firstMissing === -1 ? prefixKeys.length : firstMissing;
  }

  /** Stores blocks or marks them as recently used, and evicts the least recently used beyond the capacity. */
  store(prefixKeys: readonly string[]): void {
    for (const key of prefixKeys) {
      const wasCached = this.#keys.delete(key);
      this.#keys.add(key);
      if (!wasCached) {
        this.#events = [...this.#events, { type: 'stored', key }];
      }
    }
    for (const key of this.#keys) {
      if (this.#keys.size <= this.#capacityBlocks) {
        break;
      }
      this.#keys.delete(key);
      this.#events = [...this.#events, { type: 'evicted', key }];
    }
  }

  /** Returns the events since the last call and forgets them. */
  takeEvents(): readonly CacheEvent[] {
    const events = this.#events;
    this.#events = [];
    return events;
  }
}
