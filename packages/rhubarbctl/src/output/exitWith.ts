/**
 * Ends the process with a failure: prints it to standard error and exits with the exit code of its
 * result code.
 */
import RESULT_CODES from '@rhubarbcroft/protocol/results/ResultCode';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';

export default function exitWith(failure: Failure): never {
  process.stderr.write(`rhubarbctl: ${describeFailure(failure)}\n`);
  process.exit(RESULT_CODES[failure.code].exitCode);
}
