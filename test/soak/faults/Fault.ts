/** One fault of the soak: brought about from outside, and undone after a while. */
import type SoakWorld from '../SoakWorld.js';

abstract class Fault {
  abstract readonly name: string;

  /** Brings the fault about; the function that is returned undoes it. */
  abstract begin(world: SoakWorld): Promise<() => Promise<void>> | (() => Promise<void>);
}

export default Fault;
