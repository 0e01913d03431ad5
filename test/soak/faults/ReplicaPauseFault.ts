/** Sound replicas fall silent in the middle of their answers and then continue, which is not a disturbance. */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

export default class ReplicaPauseFault extends Fault {
  override readonly name: string;

  override readonly durationsMs = { min: 1_000, max: 1_500 };

  readonly #replicas: readonly number[];

  constructor(replicas: readonly number[]) {
    super();
    this.#replicas = replicas;
    this.name = `replica ${replicas.join('+')} pause`;
  }

  override inject({ replicas }: SoakWorld): () => Promise<void> {
    const resumes = this.#replicas.map((replica) => replicas[replica].pause());
    return async () => resumes.forEach((resume) => resume());
  }
}
