/** The ranks, most urgent first; the index of a rank is the priority that is sent to endpoints. */
import type Rank from './Rank.js';

const RANKS: readonly Rank[] = ['urgent', 'standard', 'patient'];

export default RANKS;
