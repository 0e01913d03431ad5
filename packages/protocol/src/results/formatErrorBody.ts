/**
 * Creates the JSON body of an error response in the OpenAI format, with the result code and whether
 * the request ran.
 */
import type Failure from './Failure.js';
import RESULT_CODES from './RESULT_CODES.js';

interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: string;
    readonly number: number;
    readonly ran: string;
    readonly mend: string;
  };
}

export default function formatErrorBody(failure: Failure): ErrorBody {
  const code = RESULT_CODES[failure.code];
  return {
    error: {
      message: `${code.text}: ${failure.detail}`,
      type: code.httpStatus < 500 ? 'invalid_request_error' : 'server_error',
      code: failure.code,
      number: code.number,
      ran: failure.ran,
      mend: code.mend,
    },
  };
}
