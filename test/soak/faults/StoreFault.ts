/** The store rejects requests, resets connections, does not respond, or executes requests without responding. */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

type StoreFailure = 'busy' | 'reset' | 'silent' | 'lost';

export default class StoreFault extends Fault {
  override readonly name: string;

  readonly #failure: StoreFailure;

  constructor(failure: StoreFailure) {
    super();
    this.#failure = failure;
    this.name = `store ${failure}`;
  }

  override inject({ store, disturbances }: SoakWorld): () => Promise<void> {
    const endDisturbance = disturbances.begin('store');
    store.setFaultMode(this.#failure);
    return async () => {
      store.setFaultMode('none');
      endDisturbance();
    };
  }
}
