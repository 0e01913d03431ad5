/**
 * Estimates the prefill queue of an engine from the prompts that this node and its peers have dispatched
 * there. Entries are worked off over time, in order of rank and dispatch. When a prefill of this node
 * completes, the peers' prefills queued before it are removed as well. A prefill of this node that takes
 * longer than estimated keeps a remainder, so that an engine slower than expected still counts as busy.
 */
interface QueuedPrefill {
  /** The id of this node's attempt; undefined for a peer's. */
  readonly attemptId: string | undefined;
  readonly rank: number;
  readonly sentAtMs: number;
  /** The estimated prefill time. */
  readonly costMs: number;
  /** The estimated prefill time that remains. */
  readonly leftMs: number;
}

/** The time that an overdue prefill of this node is assumed to need still, as a share of its estimated time. */
const OVERDUE_FRACTION = 0.25;

export default class PrefillQueue {
  /** Ordered by rank, the most urgent first, then by dispatch. */
  #entries: readonly QueuedPrefill[] = [];

  #advancedAtMs = 0;

  get length(): number {
    return this.#entries.length;
  }

  add(entry: Omit<QueuedPrefill, 'leftMs'>): void {
    this.#advance(entry.sentAtMs);
    const at = this.#entries.findIndex(({ rank }) => rank > entry.rank);
    const queued = { ...entry, leftMs: entry.costMs };
    this.#entries =
      at === -1
        ? [...this.#entries, queued]
        : [...this.#entries.slice(0, at), queued, ...this.#entries.slice(at)];
  }

  /**
   * Removes a completed prefill of this node, with the peers' prefills of the same or a more urgent rank that
   * were dispatched no later.
   */
  complete(attemptId: string, nowMs: number): void {
    this.#advance(nowMs);
    const completed = this.#entries.find((entry) => entry.attemptId === attemptId);
    if (completed !== undefined) {
      this.#entries = this.#entries.filter(
        (entry) =>
          entry !== completed &&
          (entry.attemptId !== undefined ||
            entry.rank > completed.rank ||
            entry.sentAtMs > completed.sentAtMs),
      );
    }
  }

  /** Removes a prefill of this node that was cancelled or failed. */
  remove(attemptId: string): void {
    this.#entries = this.#entries.filter((entry) => entry.attemptId !== attemptId);
  }

  /** The estimated wait of a new prompt of this rank, in milliseconds. */
  estimateWaitMs(rank: number, nowMs: number): number {
    this.#advance(nowMs);
    return this.#entries.reduce((sum, entry) => sum + (entry.rank <= rank ? entry.leftMs : 0), 0);
  }

  #advance(nowMs: number): void {
    let elapsedMs = Math.max(0, nowMs - this.#advancedAtMs);
    this.#advancedAtMs = Math.max(this.#advancedAtMs, nowMs);
    if (elapsedMs === 0 || this.#entries.length === 0) {
      return;
    }
    this.#entries = this.#entries.flatMap((entry) => {
      const floorMs = entry.attemptId === undefined ? 0 : entry.costMs * OVERDUE_FRACTION;
      const workedMs = Math.max(0, Math.min(elapsedMs, entry.leftMs - floorMs));
      elapsedMs -= workedMs;
      const leftMs = entry.leftMs - workedMs;
      return leftMs > 0 ? [{ ...entry, leftMs }] : [];
    });
  }
}
