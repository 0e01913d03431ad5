/**
 * Records when parts of the system are disturbed, since some guarantees apply only while certain parts are
 * undisturbed. Parts are named `store`, `replicas`, `nodes` (any node or its link to the store), `prompts` (some
 * crash replicas), by the name of a node, or by the name of a node and `contact` (its process or its link to the
 * store, planned stops included).
 */
import type Interval from './Interval.js';
import SOAK_GUARANTEES from './SOAK_GUARANTEES.js';

export default class Disturbances {
  readonly #intervals = new Map<string, Interval[]>();

  /**
   * Records that a disturbance begins now.
   *
   * @returns A function that ends the disturbance.
   */
  begin(name: string): () => void {
    const intervals = this.#intervals.get(name) ?? [];
    this.#intervals.set(name, intervals);
    const index = intervals.push({ fromMs: performance.now(), untilMs: Infinity }) - 1;
    return () => {
      intervals[index] = { ...intervals[index], untilMs: performance.now() };
    };
  }

  /** Whether no disturbance of the part overlaps the interval. */
  wasUndisturbed(name: string, { fromMs, untilMs }: Interval): boolean {
    const intervals = this.#intervals.get(name) ?? [];
    return !intervals.some((other) => other.fromMs <= untilMs && other.untilMs >= fromMs);
  }

  /** Whether guarantees with a time bound apply to a node at a time. */
  wasInContact(node: string, atMs: number): boolean {
    const span = { fromMs: atMs - SOAK_GUARANTEES.contactMs, untilMs: atMs };
    return [`${node} contact`, 'store'].every((name) => this.wasUndisturbed(name, span));
  }
}
