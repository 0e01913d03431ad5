/**
 * Learns the number of concurrent calls beyond which a plain endpoint slows down: where one more call makes all of them
 * take so much longer that fewer calls are completed. Each answer is counted under the number of calls that ran with
 * it. The samples fade, so a limit is tried again some seconds after it was last exceeded.
 *
 * Load: endpoints that slow down long before their slots are taken.
 */
import DecayingSum from '../DecayingSum.js';

const SAMPLE_DECAY_MS = 4_000;
/** The fewest samples of a number of calls whose mean is a comparison. */
const MIN_SAMPLES = 8;
/** The throughput after another call, as a share of that before it, that shows a slowdown. */
const SLOWDOWN_RATIO = 0.95;

interface Bucket {
  readonly answers: DecayingSum;
  readonly tookMs: DecayingSum;
}

export default class ConcurrencyLimit {
  readonly #buckets = new Map<number, Bucket>();

  /** Records a complete answer and the number of calls that ran there meanwhile, itself included. */
  record(running: number, tookMs: number, nowMs: number): void {
    const bucket = this.#buckets.get(running) ?? {
      answers: new DecayingSum(SAMPLE_DECAY_MS),
      tookMs: new DecayingSum(SAMPLE_DECAY_MS),
    };
    bucket.answers.add(1, nowMs);
    bucket.tookMs.add(tookMs, nowMs);
    this.#buckets.set(running, bucket);
  }

  /** The number of calls that the endpoint takes well, at most its slots. */
  read(slots: number, nowMs: number): number {
    const counted = [...this.#buckets]
      .map(([running, { answers, tookMs }]) => ({
        running,
        count: answers.read(nowMs),
        callsPerMs: (running * answers.read(nowMs)) / tookMs.read(nowMs),
      }))
      .filter(({ running, count }) => running > 0 && count >= MIN_SAMPLES)
      .sort((a, b) => a.running - b.running);
    const fallsAt = counted.findIndex(
      ({ callsPerMs }, index) =>
        index > 0 && callsPerMs < counted[index - 1].callsPerMs * SLOWDOWN_RATIO,
    );
    return fallsAt === -1 ? slots : Math.min(slots, counted[fallsAt - 1].running);
  }
}
