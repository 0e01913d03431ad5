/** The link to one replica is cut, delayed, or drops the data of its open connections. */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

type LinkFailure = 'cut' | 'slow' | 'silent';

const DELAY_MS = 150;

export default class ReplicaLinkFault extends Fault {
  override readonly name: string;

  readonly #failure: LinkFailure;

  readonly #replica: number;

  constructor(failure: LinkFailure, replica: number) {
    super();
    this.#failure = failure;
    this.#replica = replica;
    this.name = `link of replica ${replica} ${failure}`;
  }

  override inject({ replicas, disturbances }: SoakWorld): () => Promise<void> {
    const { relay } = replicas[this.#replica];
    const endDisturbance = disturbances.begin('replicas');
    if (this.#failure === 'cut') {
      relay.cut();
    } else if (this.#failure === 'slow') {
      relay.delay(DELAY_MS);
    } else {
      relay.silenceOpenConnections();
    }
    return async () => {
      relay.restore();
      endDisturbance();
    };
  }
}
