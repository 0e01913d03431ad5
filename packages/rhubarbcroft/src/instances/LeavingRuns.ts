/**
 * The runs of instances that have announced in an answer that they leave. It holds for the rest of the run, also when its
 * entry disappears and returns, or an older entry says otherwise.
 */
import type Instance from './Instance.js';

/** Above the instances that the system is designed for. */
const MAX_RUNS = 4_096;

type Run = Pick<Instance, 'id' | 'address' | 'startedAtMs'>;

function createKey({ id, address, startedAtMs }: Run): string {
  return `${id} ${address} ${startedAtMs}`;
}

export default class LeavingRuns {
  readonly #runs = new Set<string>();

  add(run: Run): void {
    this.#runs.add(createKey(run));
    if (this.#runs.size > MAX_RUNS) {
      const [oldest] = this.#runs;
      this.#runs.delete(oldest);
    }
  }

  has(run: Run): boolean {
    return this.#runs.has(createKey(run));
  }
}
