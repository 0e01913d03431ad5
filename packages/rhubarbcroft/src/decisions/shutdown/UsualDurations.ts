/** How long the requests of each route have taken lately, from their arrival to the end of their answer. */

/** Enough that a longer request than all of them is rare. */
const MAX_SAMPLES = 64;
/** Routes come and go with the routing documents. */
const MAX_ROUTES = 1_024;

export default class UsualDurations {
  readonly #samplesMs = new Map<string, readonly number[]>();

  record(route: string, durationMs: number): void {
    const known = this.#samplesMs.get(route) ?? [];
    this.#samplesMs.set(route, [...known.slice(1 - MAX_SAMPLES), durationMs]);
    if (this.#samplesMs.size > MAX_ROUTES) {
      const [oldest] = this.#samplesMs.keys();
      this.#samplesMs.delete(oldest);
    }
  }

  /** The longest of the latest durations; undefined if there is none. */
  findLongestMs(route: string): number | undefined {
    const samples = this.#samplesMs.get(route);
    return samples && Math.max(...samples);
  }
}
