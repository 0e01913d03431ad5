/**
 * How much later than expected an engine's first tokens come, by rank: what this node's own prompts there
 * show of load and slowness that no notice tells. A prompt that is overdue says so before it ends. What is
 * late for a rank is late for less urgent ones too.
 */
interface Expected {
  readonly rank: number;
  readonly endsAtMs: number;
}

interface Lateness {
  readonly lateMs: number;
  readonly atMs: number;
}

/** How fast what was seen loses its weight: queues of engines last for a second or two. */
const FADE_MS = 1_500;
const SAMPLE_WEIGHT = 0.5;

export default class LatenessTracker {
  readonly #expected = new Map<string, Expected>();

  readonly #seen = new Map<number, Lateness>();

  begin(attemptId: string, expected: Expected): void {
    this.#expected.set(attemptId, expected);
  }

  /** The first token has come. */
  end(attemptId: string, nowMs: number): void {
    const expected = this.#expected.get(attemptId);
    if (expected !== undefined) {
      this.#expected.delete(attemptId);
      const sampleMs = Math.max(0, nowMs - expected.endsAtMs);
      const beforeMs = this.#readSeen(expected.rank, nowMs);
      const lateMs = beforeMs + (sampleMs - beforeMs) * SAMPLE_WEIGHT;
      this.#seen.set(expected.rank, { lateMs, atMs: nowMs });
    }
  }

  drop(attemptId: string): void {
    this.#expected.delete(attemptId);
  }

  /** How late a prompt of this rank would be. */
  read(rank: number, nowMs: number): number {
    let lateMs = 0;
    this.#seen.forEach((_seen, seenRank) => {
      lateMs = seenRank <= rank ? Math.max(lateMs, this.#readSeen(seenRank, nowMs)) : lateMs;
    });
    this.#expected.forEach((expected) => {
      lateMs = expected.rank <= rank ? Math.max(lateMs, nowMs - expected.endsAtMs) : lateMs;
    });
    return lateMs;
  }

  #readSeen(rank: number, nowMs: number): number {
    const seen = this.#seen.get(rank);
    return seen === undefined ? 0 : seen.lateMs * Math.exp((seen.atMs - nowMs) / FADE_MS);
  }
}
