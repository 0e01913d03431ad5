/**
 * The task of one HTTP connection: serves its requests one after the other. When it is to stop, it
 * finishes the request under way, says that the connection closes, and ends.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { randomUUID } from 'node:crypto';
import type { Socket } from 'node:net';
import Mailbox from '../supervision/Mailbox.js';
import Task from '../supervision/Task.js';
import type Exchange from './Exchange.js';
import type ExchangeServer from './ExchangeServer.js';

const REQUEST_ID = /^[\w.-]{8,64}$/;

export default class HttpConnection extends Task {
  override readonly name = 'http-connection';

  readonly #socket: Socket;

  readonly #frontEnd: ExchangeServer;

  readonly #exchanges = new Mailbox<Exchange>();

  constructor(socket: Socket, frontEnd: ExchangeServer) {
    super();
    this.#socket = socket;
    this.#frontEnd = frontEnd;
    socket.once('close', () => this.#exchanges.close());
  }

  /** Hands over a request that the HTTP parser has read on this connection. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    const left = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) {
        left.abort();
      }
    });
    const sent = request.headers['x-request-id'];
    const requestId = typeof sent === 'string' && REQUEST_ID.test(sent) ? sent : randomUUID();
    this.#exchanges.push({ request, response, requestId, signal: left.signal });
  }

  override async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.#exchanges.close(), { once: true });
    for await (const exchange of this.#exchanges) {
      await this.#serve(exchange, signal);
    }
    this.#socket.end();
  }

  async #serve(exchange: Exchange, signal: AbortSignal): Promise<void> {
    const { response } = exchange;
    const announceClose = (): void => {
      if (!response.headersSent) {
        response.setHeader('connection', 'close');
      }
    };
    if (signal.aborted) {
      announceClose();
    }
    signal.addEventListener('abort', announceClose, { once: true });
    await this.#frontEnd.serve(exchange);
    signal.removeEventListener('abort', announceClose);
    if (!response.writableFinished && !response.destroyed) {
      await new Promise<void>((resolve) => {
        response.once('finish', resolve);
        response.once('close', resolve);
      });
    }
  }
}
