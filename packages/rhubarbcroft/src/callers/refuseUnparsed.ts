/** Answers bytes that the HTTP parser rejected, and ends the connection. */
import type { Socket } from 'node:net';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import formatErrorBody from '@rhubarbcroft/protocol/results/formatErrorBody';
import type ParserRejection from './ParserRejection.js';

const HEADER_OVERFLOW = 'HPE_HEADER_OVERFLOW';

export default function refuseUnparsed({ code }: ParserRejection, socket: Socket): void {
  const tooLarge = code === HEADER_OVERFLOW;
  const failure = createFailure(
    tooLarge ? 'HEADER_TOO_LARGE' : 'MALFORMED_BODY',
    'the request is not valid HTTP',
  );
  const body = JSON.stringify(formatErrorBody(failure));
  const status = tooLarge ? '431 Request Header Fields Too Large' : '400 Bad Request';
  const head = `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\nrhubarb-ran: not_run\r\nconnection: close\r\n`;
  socket.end(`${head}content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
}
