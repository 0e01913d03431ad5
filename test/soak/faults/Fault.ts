/** A fault that the soak injects from outside the processes and reverts later. */
import type SoakWorld from '../SoakWorld.js';

abstract class Fault {
  /** Printed in the soak's report; the first two words identify the target of the fault. */
  abstract readonly name: string;

  /** Range of the time for which it lasts. */
  readonly durationsMs: { readonly min: number; readonly max: number } = { min: 500, max: 4_500 };

  /**
   * Injects the fault.
   *
   * @returns A function that reverts it.
   */
  abstract inject(world: SoakWorld): Promise<() => Promise<void>> | (() => Promise<void>);
}

export default Fault;
