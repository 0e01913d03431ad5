/**
 * Counts the KV cache memory that running requests take on one engine: this node's own from their dispatch to their
 * end, and those of the peers until their estimated end. Memory is given out in blocks. Parts that no running request
 * uses do not count, since the engine evicts them when it needs the room.
 *
 * Load: prompts of 17,000 tokens, of which some 26 fill the memory of an engine of 64 slots; a request that does not
 * fit waits, or another one is preempted and prefilled once more.
 */
import type MemoryHold from './MemoryHold.js';

const BLOCK_TOKENS = 16;
/** The shortest time in which a request that should have ended may be expected to end. */
const OVERDUE_MS = 50;

function countBlockTokens(tokens: number): number {
  return Math.ceil(tokens / BLOCK_TOKENS) * BLOCK_TOKENS;
}

export default class MemoryRoom {
  /** Undefined if the operator does not declare it; then memory never runs out. */
  readonly #capacityTokens: number | undefined;

  /** Requests of this node, until they end. */
  readonly #own = new Map<string, MemoryHold>();

  /** Requests until their expected end. */
  #expected: readonly MemoryHold[] = [];

  /** How many running requests use each shared part. */
  readonly #uses = new Map<string, number>();

  #heldTokens = 0;

  constructor(capacityTokens: number | undefined) {
    this.#capacityTokens = capacityTokens;
  }

  /** Counts a request of this node until `release`. */
  hold(attemptId: string, hold: MemoryHold): void {
    this.release(attemptId);
    this.#own.set(attemptId, hold);
    this.#count(hold, 1);
  }

  release(attemptId: string): void {
    const hold = this.#own.get(attemptId);
    if (hold !== undefined) {
      this.#own.delete(attemptId);
      this.#count(hold, -1);
    }
  }

  /** Counts a request until its expected end: a peer's, or one of this node that has ended but keeps its memory. */
  holdUntilEnd(hold: MemoryHold): void {
    this.#expected = [...this.#expected, hold];
    this.#count(hold, 1);
  }

  /** Keeps the memory of an ended request of this node for a time, until another engine has fetched its KV cache. */
  keep(attemptId: string, endsAtMs: number): void {
    const hold = this.#own.get(attemptId);
    if (hold !== undefined) {
      this.release(attemptId);
      this.holdUntilEnd({ ...hold, endsAtMs });
    }
  }

  /** The share of the memory that running requests take. */
  readShare(nowMs: number): number {
    this.#removeEnded(nowMs);
    return this.#heldTokens / (this.#capacityTokens ?? Infinity);
  }

  /** Estimates how long a request waits until its memory is free: until enough of the running ones have ended. */
  estimateWaitMs(next: Omit<MemoryHold, 'endsAtMs'>, nowMs: number): number {
    this.#removeEnded(nowMs);
    const freeTokens = (this.#capacityTokens ?? Infinity) - this.#heldTokens;
    const isEmpty = this.#own.size + this.#expected.length === 0;
    // What does not fit into an empty engine is not helped by waiting.
    return isEmpty || this.#countNewTokens(next) <= freeTokens
      ? 0
      : this.#findFreeMs(next, nowMs) - nowMs;
  }

  /** When the requests that end first have freed the memory. */
  #findFreeMs(next: Omit<MemoryHold, 'endsAtMs'>, nowMs: number): number {
    const running = [...this.#own.values(), ...this.#expected];
    running.sort((a, b) => a.endsAtMs - b.endsAtMs);
    const future = new MemoryRoom(this.#capacityTokens);
    running.forEach((hold, index) => future.hold(String(index), hold));
    const neededMs = running.find((_hold, index) => {
      future.release(String(index));
      return future.#heldTokens + future.#countNewTokens(next) <= (this.#capacityTokens ?? 0);
    })?.endsAtMs;
    return Math.max(nowMs + OVERDUE_MS, neededMs ?? running.at(-1)?.endsAtMs ?? nowMs);
  }

  /** The tokens that a request adds to those of the running ones. */
  #countNewTokens({ sharedParts, ownTokens }: Omit<MemoryHold, 'endsAtMs'>): number {
    return sharedParts.reduce(
      (sum, { id, tokens }) => sum + (this.#uses.has(id) ? 0 : countBlockTokens(tokens)),
      countBlockTokens(ownTokens),
    );
  }

  #count({ sharedParts, ownTokens }: MemoryHold, change: 1 | -1): void {
    this.#heldTokens += countBlockTokens(ownTokens) * change;
    sharedParts.forEach(({ id, tokens }) => {
      const before = this.#uses.get(id) ?? 0;
      const after = before + change;
      if (after === 0) {
        this.#uses.delete(id);
      } else {
        this.#uses.set(id, after);
      }
      if (before === 0 || after === 0) {
        this.#heldTokens += countBlockTokens(tokens) * change;
      }
    });
  }

  #removeEnded(nowMs: number): void {
    const ended = this.#expected.filter(({ endsAtMs }) => endsAtMs <= nowMs);
    if (ended.length > 0) {
      this.#expected = this.#expected.filter(({ endsAtMs }) => endsAtMs > nowMs);
      ended.forEach((hold) => this.#count(hold, -1));
    }
  }
}
