/** Some of the prompts of one route hold a part that crashes each replica that begins to write an answer to it. */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

export default class DeadlyPartFault extends Fault {
  override readonly name: string;

  /** Long enough for five crashes and the checks that apply after them. */
  override readonly durationsMs = { min: 15_000, max: 16_000 };

  readonly #path: string;

  constructor(path: string) {
    super();
    this.#path = path;
    this.name = `deadly part in ${path}`;
  }

  override inject({ prompts, disturbances }: SoakWorld): () => Promise<void> {
    const endDisturbance = disturbances.begin('prompts');
    prompts.addDeadlyPart(this.#path);
    return async () => {
      prompts.removeDeadlyPart();
      endDisturbance();
    };
  }
}
