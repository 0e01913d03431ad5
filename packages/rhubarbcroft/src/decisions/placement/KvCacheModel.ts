/**
 * A model of one engine's KV cache, derived from the prompts dispatched to it: an LRU cache of prompt parts
 * that evicts the least recently used part when its capacity is exceeded.
 */
import type PromptPart from './PromptPart.js';

/** The share of an engine's KV memory assumed to hold cached parts; running requests use the rest. */
const CACHED_FRACTION = 0.75;

export default class KvCacheModel {
  readonly #capacityTokens: number;

  /** Tokens by part, the least recently used first. */
  readonly #parts = new Map<string, number>();

  #cachedTokens = 0;

  constructor(kvCapacityTokens: number) {
    this.#capacityTokens = kvCapacityTokens * CACHED_FRACTION;
  }

  /** Records that a prompt with these parts was dispatched to the engine. */
  recordPrompt(parts: readonly PromptPart[]): void {
    parts.forEach(({ id, tokens }) => {
      this.#cachedTokens += tokens - (this.#parts.get(id) ?? 0);
      this.#parts.delete(id);
      this.#parts.set(id, tokens);
    });
    for (const [id, tokens] of this.#parts) {
      if (this.#cachedTokens <= this.#capacityTokens) {
        return;
      }
      this.#parts.delete(id);
      this.#cachedTokens -= tokens;
    }
  }

  /** The number of cached tokens from the start of a prompt: a part counts only if all parts before it are cached. */
  countCachedTokens(parts: readonly PromptPart[]): number {
    let cached = 0;
    for (const { id, tokens } of parts) {
      if (!this.#parts.has(id)) {
        return cached;
      }
      cached += tokens;
    }
    return cached;
  }
}
