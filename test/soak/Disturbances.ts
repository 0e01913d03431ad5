/**
 * When what was disturbed, so that a promise that holds only in calm is judged only there. Names are `store`,
 * `replicas`, or that of a node.
 */
import type Interval from './Interval.js';

export default class Disturbances {
  readonly #intervals = new Map<string, Interval[]>();

  /** Notes a disturbance from now on; the function that is returned ends it. */
  begin(name: string): () => void {
    const intervals = this.#intervals.get(name) ?? [];
    this.#intervals.set(name, intervals);
    const at = intervals.push({ fromMs: performance.now(), untilMs: Infinity }) - 1;
    return () => {
      intervals[at] = { ...intervals[at], untilMs: performance.now() };
    };
  }

  wasCalm(name: string, { fromMs, untilMs }: Interval): boolean {
    const intervals = this.#intervals.get(name) ?? [];
    return !intervals.some((other) => other.fromMs <= untilMs && other.untilMs >= fromMs);
  }
}
