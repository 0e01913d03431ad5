/** Returns the value of a result, or ends the process with its failure. */
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import exitWithFailure from './exitWithFailure.js';

export default function unwrapOrExit<Value>(result: Result<Value, Failure>): Value {
  return result.isOk ? result.value : exitWithFailure(result.error);
}
