/**
 * Tracks, for one engine and by rank, how much later than expected the first tokens of this node's own prompts
 * arrive. These delays reveal load and slowness of the engine that the peers' messages do not report. The
 * lateness of a rank is a decaying average of the measured delays. An overdue prompt, whose first token has not
 * arrived yet, raises it to at least the prompt's delay so far. The lateness of a rank also applies to all less
 * urgent ranks, since an engine serves them after it.
 */
interface ExpectedToken {
  readonly rank: number;
  readonly expectedAtMs: number;
}

interface LatenessSample {
  readonly lateMs: number;
  readonly measuredAtMs: number;
}

/** The time constant of the decay of samples: queues of engines last for a second or two. */
const DECAY_MS = 1_500;
const SAMPLE_WEIGHT = 0.5;

export default class LatenessTracker {
  readonly #expected = new Map<string, ExpectedToken>();

  readonly #latenessByRank = new Map<number, LatenessSample>();

  /** Registers the expected time of an attempt's first token. */
  expectFirstToken(attemptId: string, expected: ExpectedToken): void {
    this.#expected.set(attemptId, expected);
  }

  /** Records that the first token of the attempt has arrived. */
  recordFirstToken(attemptId: string, nowMs: number): void {
    const expected = this.#expected.get(attemptId);
    if (expected !== undefined) {
      this.#expected.delete(attemptId);
      const sampleMs = Math.max(0, nowMs - expected.expectedAtMs);
      const beforeMs = this.#readDecayed(expected.rank, nowMs);
      const lateMs = beforeMs + (sampleMs - beforeMs) * SAMPLE_WEIGHT;
      this.#latenessByRank.set(expected.rank, { lateMs, measuredAtMs: nowMs });
    }
  }

  /** Discards the expected time of an attempt that has ended, if its first token never arrived. */
  discard(attemptId: string): void {
    this.#expected.delete(attemptId);
  }

  /** The estimated lateness of a new prompt of this rank, in milliseconds. */
  estimateLatenessMs(rank: number, nowMs: number): number {
    let lateMs = 0;
    this.#latenessByRank.forEach((_sample, sampleRank) => {
      lateMs = sampleRank <= rank ? Math.max(lateMs, this.#readDecayed(sampleRank, nowMs)) : lateMs;
    });
    this.#expected.forEach((expected) => {
      lateMs = expected.rank <= rank ? Math.max(lateMs, nowMs - expected.expectedAtMs) : lateMs;
    });
    return lateMs;
  }

  #readDecayed(rank: number, nowMs: number): number {
    const sample = this.#latenessByRank.get(rank);
    return sample === undefined
      ? 0
      : sample.lateMs * Math.exp((sample.measuredAtMs - nowMs) / DECAY_MS);
  }
}
