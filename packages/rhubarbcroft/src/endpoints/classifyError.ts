/** Converts an error of the HTTP client into the failure of an attempt. */
import type AttemptFailure from './AttemptFailure.js';

/** Codes of errors in which no connection was established. */
const UNSENT_CODES = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

export default function classifyError(error: unknown): AttemptFailure {
  const { code, message, name } = error as NodeJS.ErrnoException;
  if (UNSENT_CODES.has(code ?? '')) {
    return { kind: 'unsent', detail: message };
  }
  const isTimeout =
    name === 'TimeoutError' ||
    code === 'UND_ERR_HEADERS_TIMEOUT' ||
    code === 'UND_ERR_BODY_TIMEOUT';
  return { kind: isTimeout ? 'silent' : 'broken', detail: message };
}
