/**
 * What one engine's KV cache is thought to hold, from what was sent to it: parts of prompts, the least
 * recently used of which yield when the cache is full.
 */
import type PromptPart from './PromptPart.js';

/** The share of an engine's memory that is taken to hold cached parts; running requests take the rest. */
const CACHED_FRACTION = 0.75;

export default class KvCacheModel {
  readonly #capacityTokens: number;

  /** Tokens by part, the least recently used first. */
  readonly #parts = new Map<string, number>();

  #heldTokens = 0;

  constructor(kvCapacityTokens: number) {
    this.#capacityTokens = kvCapacityTokens * CACHED_FRACTION;
  }

  /** Notes that a prompt with these parts has been sent to the engine. */
  touch(parts: readonly PromptPart[]): void {
    parts.forEach(({ id, tokens }) => {
      this.#heldTokens += tokens - (this.#parts.get(id) ?? 0);
      this.#parts.delete(id);
      this.#parts.set(id, tokens);
    });
    for (const [id, tokens] of this.#parts) {
      if (this.#heldTokens <= this.#capacityTokens) {
        return;
      }
      this.#parts.delete(id);
      this.#heldTokens -= tokens;
    }
  }

  /** Tokens from the start of a prompt that are held: a part counts only if all before it are held. */
  countCached(parts: readonly PromptPart[]): number {
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
