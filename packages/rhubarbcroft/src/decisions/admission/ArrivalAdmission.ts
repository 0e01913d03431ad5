/** Decides at the arrival of a request whether it is served or refused, without a queue of its own. */
import type Arrival from './Arrival.js';
import type ArrivalDecision from './ArrivalDecision.js';
import type RefusedCaller from './RefusedCaller.js';

abstract class ArrivalAdmission {
  abstract decide(arrival: Arrival, nowMs: number): ArrivalDecision;

  /** After how long a caller should return whose request can't be served before the excess has drained. */
  abstract planReturnMs(caller: RefusedCaller, excessMs: number): number;
}

export default ArrivalAdmission;
