/** The link to one replica is cut, slow, or loses what its open connections carry. */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

type Harm = 'cut' | 'slow' | 'silent';

const DELAY_MS = 150;

export default class ReplicaLinkFault extends Fault {
  override readonly name: string;

  readonly #harm: Harm;

  readonly #replica: number;

  constructor(harm: Harm, replica: number) {
    super();
    this.#harm = harm;
    this.#replica = replica;
    this.name = `link of replica ${replica} ${harm}`;
  }

  override begin({ replicas, disturbances }: SoakWorld): () => Promise<void> {
    const { relay } = replicas[this.#replica];
    const calm = disturbances.begin('replicas');
    if (this.#harm === 'cut') {
      relay.cut();
    } else if (this.#harm === 'slow') {
      relay.delay(DELAY_MS);
    } else {
      relay.silenceOpen();
    }
    return async () => {
      relay.restore();
      calm();
    };
  }
}
