/**
 * A replica truncates its answers or their heads, ends them with their connection, answers with failures, declines
 * requests, or runs them and loses the answer.
 */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

type ResponseMode =
  'break' | 'breakUnframed' | 'cutHead' | 'decline' | 'fail' | 'loseAnswer' | 'unframed';

export default class ReplicaResponseFault extends Fault {
  override readonly name: string;

  readonly #mode: ResponseMode;

  readonly #replica: number;

  constructor(mode: ResponseMode, replica: number) {
    super();
    this.#mode = mode;
    this.#replica = replica;
    this.name = `replica ${replica} ${mode}`;
  }

  override inject({ replicas, disturbances }: SoakWorld): () => Promise<void> {
    const replica = replicas[this.#replica];
    // An answer that ends with its connection is sound.
    const endDisturbance =
      this.#mode === 'unframed' ? () => undefined : disturbances.begin('replicas');
    replica.responseMode = this.#mode;
    return async () => {
      replica.responseMode = 'answer';
      endDisturbance();
    };
  }
}
