/**
 * The task of one HTTP connection. Serves the requests of the connection one after the other. When the task
 * is stopped, it finishes the requests already received, announces the end of the connection with
 * `connection: close`, and closes it.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { randomUUID } from 'node:crypto';
import type { Socket } from 'node:net';
import Mailbox from '../supervision/Mailbox.js';
import Task from '../supervision/Task.js';
import type HttpExchange from './HttpExchange.js';
import type HttpExchangeServer from './HttpExchangeServer.js';

/** Request ids that are accepted from callers; others are replaced by a generated id. */
const REQUEST_ID = /^[\w.-]{8,64}$/;

export default class HttpConnection extends Task {
  override readonly name = 'http-connection';

  readonly #socket: Socket;

  readonly #server: HttpExchangeServer;

  readonly #exchanges = new Mailbox<HttpExchange>();

  constructor(socket: Socket, server: HttpExchangeServer) {
    super();
    this.#socket = socket;
    this.#server = server;
    socket.once('close', () => this.#exchanges.close());
  }

  /** Queues a request that the HTTP parser has read on this connection. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    const disconnected = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) {
        disconnected.abort();
      }
    });
    const receivedId = request.headers['x-request-id'];
    const requestId =
      typeof receivedId === 'string' && REQUEST_ID.test(receivedId) ? receivedId : randomUUID();
    this.#exchanges.push({ request, response, requestId, signal: disconnected.signal });
  }

  override async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.#exchanges.close(), { once: true });
    for await (const exchange of this.#exchanges) {
      await this.#serve(exchange, signal);
    }
    this.#socket.end();
  }

  async #serve(exchange: HttpExchange, signal: AbortSignal): Promise<void> {
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
    await this.#server.serve(exchange);
    signal.removeEventListener('abort', announceClose);
    if (!response.writableFinished && !response.destroyed) {
      await new Promise<void>((resolve) => {
        response.once('finish', resolve);
        response.once('close', resolve);
      });
    }
  }
}
