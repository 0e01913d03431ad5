/** Returns the value of a result, or ends the process with its failure. */
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import exitWith from './exitWith.js';

export default function unwrap<Value>(result: Result<Value, Failure>): Value {
  return result.isOk ? result.value : exitWith(result.error);
}
