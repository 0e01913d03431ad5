/** The link between one node and the store is cut, slow, or loses what its open connections carry. */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

type Harm = 'cut' | 'slow' | 'silent';

const DELAY_MS = 300;

export default class StoreLinkFault extends Fault {
  override readonly name: string;

  readonly #harm: Harm;

  readonly #node: number;

  constructor(harm: Harm, node: number) {
    super();
    this.#harm = harm;
    this.#node = node;
    this.name = `store link of node ${node} ${harm}`;
  }

  override begin({ nodes, disturbances }: SoakWorld): () => Promise<void> {
    const { storeRelay } = nodes[this.#node];
    const calm = disturbances.begin('nodes');
    if (this.#harm === 'cut') {
      storeRelay.cut();
    } else if (this.#harm === 'slow') {
      storeRelay.delay(DELAY_MS);
    } else {
      storeRelay.silenceOpen();
    }
    return async () => {
      storeRelay.restore();
      calm();
    };
  }
}
