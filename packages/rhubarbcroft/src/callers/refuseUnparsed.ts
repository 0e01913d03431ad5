/** Answers bytes that the HTTP parser rejected, and ends the connection. */
import type { Socket } from 'node:net';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import formatErrorBody from '@rhubarbcroft/protocol/results/formatErrorBody';
import type ParserRejection from './ParserRejection.js';

const HEADER_OVERFLOW = 'HPE_HEADER_OVERFLOW';
const STATUS_LINES = {
  MALFORMED_BODY: '400 Bad Request',
  HEADER_TOO_SLOW: '408 Request Timeout',
  HEADER_TOO_LARGE: '431 Request Header Fields Too Large',
} as const;

function findCode({ reason, code }: ParserRejection): keyof typeof STATUS_LINES {
  if (reason === 'header_timeout') {
    return 'HEADER_TOO_SLOW';
  }
  return code === HEADER_OVERFLOW ? 'HEADER_TOO_LARGE' : 'MALFORMED_BODY';
}

export default function refuseUnparsed(rejection: ParserRejection, socket: Socket): void {
  const code = findCode(rejection);
  const detail =
    code === 'HEADER_TOO_SLOW'
      ? 'the head was still incomplete at the time limit'
      : 'the request is not valid HTTP';
  const body = JSON.stringify(formatErrorBody(createFailure(code, detail)));
  const head = `HTTP/1.1 ${STATUS_LINES[code]}\r\ncontent-type: application/json\r\nrhubarb-ran: not_run\r\nconnection: close\r\n`;
  socket.end(`${head}content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
}
