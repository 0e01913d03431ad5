/** A request that is refused, and how long its caller still waits. */
import type Arrival from './Arrival.js';

type RefusedCaller = Pick<Arrival, 'id' | 'service' | 'remainingMs'>;

export default RefusedCaller;
