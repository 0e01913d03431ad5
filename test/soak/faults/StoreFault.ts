/** The store turns its callers away, falls silent, or does what it is told without an answer. */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

type Trouble = 'busy' | 'reset' | 'silent' | 'lost';

export default class StoreFault extends Fault {
  override readonly name: string;

  readonly #trouble: Trouble;

  constructor(trouble: Trouble) {
    super();
    this.#trouble = trouble;
    this.name = `store ${trouble}`;
  }

  override begin({ store, disturbances }: SoakWorld): () => Promise<void> {
    const calm = disturbances.begin('store');
    store.setFaultMode(this.#trouble);
    return async () => {
      store.setFaultMode('none');
      calm();
    };
  }
}
