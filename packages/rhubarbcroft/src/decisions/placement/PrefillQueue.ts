/**
 * The prompts that an engine is thought to have before it, by rank, from what this node and its peers have
 * sent there. Time works them off in order; the end of one of this node's own says that all which went
 * before it are done too. One that should be done but is not stays with a remainder, so that an engine
 * slower than expected looks busy.
 */
interface QueuedPrefill {
  /** The attempt, for this node's own; undefined for a peer's. */
  readonly attemptId: string | undefined;
  readonly rank: number;
  readonly sentAtMs: number;
  readonly costMs: number;
  readonly leftMs: number;
}

/** What an own prefill that is overdue is still taken to need, as a share of its cost. */
const OVERDUE_FRACTION = 0.25;

export default class PrefillQueue {
  /** The most urgent first, then in the order of their sending. */
  #entries: readonly QueuedPrefill[] = [];

  #atMs = 0;

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

  /** An own prefill has ended, and with it what was ahead of it. */
  complete(attemptId: string, nowMs: number): void {
    this.#advance(nowMs);
    const done = this.#entries.find((entry) => entry.attemptId === attemptId);
    if (done !== undefined) {
      this.#entries = this.#entries.filter(
        (entry) =>
          entry !== done &&
          (entry.attemptId !== undefined ||
            entry.rank > done.rank ||
            entry.sentAtMs > done.sentAtMs),
      );
    }
  }

  /** An own prefill was given up. */
  drop(attemptId: string): void {
    this.#entries = this.#entries.filter((entry) => entry.attemptId !== attemptId);
  }

  /** How long a new prompt of this rank would wait. */
  readWaitMs(rank: number, nowMs: number): number {
    this.#advance(nowMs);
    return this.#entries.reduce((sum, entry) => sum + (entry.rank <= rank ? entry.leftMs : 0), 0);
  }

  #advance(nowMs: number): void {
    let elapsedMs = Math.max(0, nowMs - this.#atMs);
    this.#atMs = Math.max(this.#atMs, nowMs);
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
