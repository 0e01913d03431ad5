/** A replica truncates its answers, declines requests, or runs them and loses the answer. */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

type ResponseMode = 'break' | 'decline' | 'loseAnswer';

export default class ReplicaMannerFault extends Fault {
  override readonly name: string;

  readonly #mode: ResponseMode;

  readonly #replica: number;

  constructor(mode: ResponseMode, replica: number) {
    super();
    this.#mode = mode;
    this.#replica = replica;
    this.name = `replica ${replica} ${mode}`;
  }

  override begin({ replicas, disturbances }: SoakWorld): () => Promise<void> {
    const replica = replicas[this.#replica];
    const endDisturbance = disturbances.begin('replicas');
    replica.manner = this.#mode;
    return async () => {
      replica.manner = 'answer';
      endDisturbance();
    };
  }
}
