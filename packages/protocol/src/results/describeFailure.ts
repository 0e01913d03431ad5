/** Formats a failure as one line for logs and terminals: number, name, text, detail and remedy. */
import type Failure from './Failure.js';
import RESULT_CODES from './RESULT_CODES.js';

export default function describeFailure(failure: Failure): string {
  const code = RESULT_CODES[failure.code];
  return `${code.number} ${failure.code}: ${code.text}: ${failure.detail} (fix: ${code.mend})`;
}
