/** The link between one node and the store is cut, delayed, or drops the data of its open connections. */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

type LinkFailure = 'cut' | 'slow' | 'silent';

const DELAY_MS = 300;

export default class StoreLinkFault extends Fault {
  override readonly name: string;

  readonly #failure: LinkFailure;

  readonly #node: number;

  constructor(failure: LinkFailure, node: number) {
    super();
    this.#failure = failure;
    this.#node = node;
    this.name = `store link of node ${node} ${failure}`;
  }

  override inject({ nodes, disturbances }: SoakWorld): () => Promise<void> {
    const { storeRelay, name } = nodes[this.#node];
    const endDisturbances = [disturbances.begin('nodes'), disturbances.begin(`${name} contact`)];
    if (this.#failure === 'cut') {
      storeRelay.cut();
    } else if (this.#failure === 'slow') {
      storeRelay.delay(DELAY_MS);
    } else {
      storeRelay.silenceOpenConnections();
    }
    return async () => {
      storeRelay.restore();
      endDisturbances.forEach((end) => end());
    };
  }
}
