/** A replica breaks its answers off, declines what it gets, or runs it and loses the answer. */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

type Manner = 'break' | 'decline' | 'loseAnswer';

export default class ReplicaMannerFault extends Fault {
  override readonly name: string;

  readonly #manner: Manner;

  readonly #replica: number;

  constructor(manner: Manner, replica: number) {
    super();
    this.#manner = manner;
    this.#replica = replica;
    this.name = `replica ${replica} ${manner}`;
  }

  override begin({ replicas, disturbances }: SoakWorld): () => Promise<void> {
    const replica = replicas[this.#replica];
    const calm = disturbances.begin('replicas');
    replica.manner = this.#manner;
    return async () => {
      replica.manner = 'answer';
      calm();
    };
  }
}
