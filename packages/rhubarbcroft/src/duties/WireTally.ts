/** A tally as peers exchange it: each window as its number and alternately accounts and counts, demand as lists. */
import type Tally from './Tally.js';

interface WireTally extends Omit<Tally, 'windows' | 'demand'> {
  readonly windows: readonly (readonly [number, ...(string | number)[]])[];
  readonly demand: readonly (readonly [string, number, number, number, number, number])[];
}

export default WireTally;
