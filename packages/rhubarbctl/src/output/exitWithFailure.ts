/**
 * Ends the process with a failure: prints it to standard error and exits with the exit code of its
 * result code.
 */
import RESULT_CODES from '@rhubarbcroft/protocol/results/RESULT_CODES';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';

export default function exitWithFailure(failure: Failure): never {
  process.stderr.write(`rhubarbctl: ${describeFailure(failure)}\n`);
  process.exit(RESULT_CODES[failure.code].exitCode);
}
