/**
 * Recognizes requests that return after a refusal. Callers count their time from their first attempt, so a return has
 * clearly less of it than the requests of its route usually have. Routes whose requests differ widely in time show no
 * such difference, and neither do routes of which this node has seen few requests: nothing counts as a return there.
 */
interface Sample {
  readonly remainingMs: number;
  readonly atMs: number;
}

/** A request with less than this fraction of the longest time of its route counts as a return. */
const RETURN_FRACTION = 0.8;
/** The share of a route's requests that must have more than that. */
const MIN_FIRST_SHARE = 0.5;
const MIN_SAMPLES = 4;
const MAX_SAMPLES = 32;
const SAMPLE_AGE_MS = 60_000;
const MAX_ROUTES = 256;

export default class ReturnRecognizer {
  readonly #samples = new Map<string, readonly Sample[]>();

  /** Whether a request of the route, of which the caller still waits so long, is a return; records it as well. */
  observe(route: string, remainingMs: number, nowMs: number): boolean {
    const recent = (this.#samples.get(route) ?? []).filter(
      ({ atMs }) => atMs > nowMs - SAMPLE_AGE_MS,
    );
    const thresholdMs =
      Math.max(...recent.map((sample) => sample.remainingMs), 0) * RETURN_FRACTION;
    const firsts = recent.filter((sample) => sample.remainingMs >= thresholdMs).length;
    this.#store(route, [...recent, { remainingMs, atMs: nowMs }].slice(-MAX_SAMPLES));
    return (
      recent.length >= MIN_SAMPLES &&
      firsts >= recent.length * MIN_FIRST_SHARE &&
      remainingMs < thresholdMs
    );
  }

  /** Keeps the routes that were seen last. */
  #store(route: string, samples: readonly Sample[]): void {
    this.#samples.delete(route);
    this.#samples.set(route, samples);
    if (this.#samples.size > MAX_ROUTES) {
      const [leastRecent] = this.#samples.keys();
      this.#samples.delete(leastRecent);
    }
  }
}
