/** Tells apart the errors that the HTTP server reports for a connection. */
import type ParserRejection from './ParserRejection.js';

const HEADER_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';
const PARSER_ERROR_PREFIX = 'HPE_';
/** The parser's error when the caller ends the connection inside a request. */
const EARLY_END = 'HPE_INVALID_EOF_STATE';

export default function classifyClientError({ code = '' }: NodeJS.ErrnoException): ParserRejection {
  if (code === HEADER_TIMEOUT) {
    return { reason: 'header_timeout', code: undefined };
  }
  const isMalformed = code.startsWith(PARSER_ERROR_PREFIX) && code !== EARLY_END;
  return { reason: isMalformed ? 'malformed' : 'caller', code };
}
