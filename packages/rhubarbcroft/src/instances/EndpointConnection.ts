/**
 * One HTTP connection to an endpoint. It is opened once and never reopened, so that a request is
 * certainly unsent as long as the connection was not made. A body whose end no header announces is not
 * known to be whole when its connection ends, in whatever way: an endpoint that stops in the middle may
 * close in order too.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { Client } from 'undici';
import type { Dispatcher } from 'undici';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type AttemptFailure from '../endpoints/AttemptFailure.js';
import type EndpointCall from './EndpointCall.js';

interface EndpointAnswer {
  readonly status: number;
  /** Names and values in turn, as the endpoint sent them. */
  readonly rawHeaders: readonly string[];
  /** Throws when the body breaks off. */
  readonly body: AsyncIterable<Buffer>;
}

/** An idle connection is dropped this long before the endpoint said that it closes it. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
/** How long a connection is kept idle when the endpoint announces nothing. */
const KEEP_ALIVE_MS = 4_000;
const FRAMING_HEADERS = new Set(['content-length', 'transfer-encoding']);

/** Whether the headers say where the body ends; otherwise it ends with the connection. */
function isFramed(rawHeaders: readonly string[]): boolean {
  return rawHeaders.some((name, at) => at % 2 === 0 && FRAMING_HEADERS.has(name.toLowerCase()));
}

export default class EndpointConnection {
  readonly #client: Client;

  #socket: Socket | undefined;

  #attempted = false;

  #isClosed = false;

  constructor(address: string, connectTimeoutMs: number) {
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      connect: (options, callback) => {
        if (this.#attempted) {
          callback(new Error('the connection has ended'), null);
          return;
        }
        this.#attempted = true;
        this.#open(options.hostname, Number(options.port), connectTimeoutMs, callback);
      },
    });
  }

  /** Whether another call may be sent on this connection. */
  get isOpen(): boolean {
    return this.#socket !== undefined && !this.#isClosed && !this.#socket.destroyed;
  }

  async send(
    call: EndpointCall,
    signal: AbortSignal,
  ): Promise<Result<EndpointAnswer, AttemptFailure>> {
    try {
      const response = await this.#client.request({
        method: call.method,
        path: call.path,
        headers: [...call.headers],
        body: call.body === undefined || call.body.length === 0 ? null : call.body,
        signal,
        responseHeaders: 'raw',
      });
      const rawHeaders = response.headers as unknown as readonly string[];
      const body = this.#readBody(response.body, isFramed(rawHeaders));
      return ok({ status: response.statusCode, rawHeaders, body });
    } catch (error) {
      const detail = (error as Error).message;
      return err({ kind: this.#socket === undefined ? 'unsent' : 'broken', detail });
    }
  }

  close(): void {
    this.#isClosed = true;
    void this.#client.destroy();
  }

  async *#readBody(
    body: Dispatcher.ResponseData['body'],
    framed: boolean,
  ): AsyncGenerator<Buffer, void, undefined> {
    for await (const chunk of body) {
      yield chunk as Buffer;
    }
    if (!framed) {
      throw new Error('the connection ended, and no header says where the answer does');
    }
  }

  #open(
    host: string,
    port: number,
    timeoutMs: number,
    callback: (...args: [null, Socket] | [Error, null]) => void,
  ): void {
    const socket = connect({ host, port, noDelay: true });
    const timer = setTimeout(
      () => socket.destroy(new Error(`no connection within ${timeoutMs} ms`)),
      timeoutMs,
    );
    const fail = (error: Error): void => {
      clearTimeout(timer);
      callback(error, null);
    };
    socket.once('error', fail);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.removeListener('error', fail);
      // The client reports the error of a call under way; an idle connection is simply not used again.
      socket.on('error', () => undefined);
      socket.once('close', () => {
        this.#isClosed = true;
      });
      this.#socket = socket;
      callback(null, socket);
    });
  }
}
