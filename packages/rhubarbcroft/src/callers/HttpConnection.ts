/**
 * The task of one HTTP connection. Serves the requests of the connection one after the other. When the task
 * is stopped, it finishes the requests already received, announces the end of the connection with
 * `connection: close`, and closes it.
 *
 * Bytes that the kernel has received but the parser has not read yet count as received: a stopped connection
 * closes only after the event loop has read them, and it waits for a request that has begun to arrive and for the
 * first request of a new connection.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { randomUUID } from 'node:crypto';
import type { Socket } from 'node:net';
import type Clock from '../supervision/Clock.js';
import Mailbox from '../supervision/Mailbox.js';
import Task from '../supervision/Task.js';
import waitForEventLoop from '../supervision/waitForEventLoop.js';
import type ConnectionEnd from './ConnectionEnd.js';
import type ConnectionEndRecorder from './ConnectionEndRecorder.js';
import type HttpExchange from './HttpExchange.js';
import type HttpExchangeServer from './HttpExchangeServer.js';

interface HttpConnectionOptions {
  readonly server: HttpExchangeServer;
  readonly clock: Clock;
  readonly ends: ConnectionEndRecorder;
}

type EndReason = ConnectionEnd['reason'];
type UnansweredRequest = ConnectionEnd['unanswered'][number];

/** Request ids that are accepted from callers; others are replaced by a generated id. */
const REQUEST_ID = /^[\w.-]{8,64}$/;
/** How long a stopped connection waits for a request that is expected: a round trip between regions and a slow core. */
const EXPECTED_REQUEST_MS = 1_000;

export default class HttpConnection extends Task {
  override readonly name = 'http-connection';

  readonly #socket: Socket;

  readonly #options: HttpConnectionOptions;

  readonly #exchanges = new Mailbox<HttpExchange>();

  #requestCount = 0;

  /** Bytes read from the socket when the last request was complete. */
  #completeBytes = 0;

  /** Ends the wait of a stopped connection for an expected request; undefined while it does not wait. */
  #finishWait: (() => void) | undefined;

  /** Describes the requests that are not answered yet, in the order of their arrival. */
  readonly #unanswered = new Map<ServerResponse, () => UnansweredRequest>();

  #endReason: EndReason | undefined;

  #endDetail: string | undefined;

  /** When the connection was opened or its last answer was complete. */
  #idleSinceMs: number;

  #lastRequest: IncomingMessage | undefined;

  constructor(socket: Socket, options: HttpConnectionOptions) {
    super();
    this.#socket = socket;
    this.#options = options;
    this.#idleSinceMs = options.clock.nowMs();
    socket.once('end', () => this.noteEnd('caller'));
    socket.once('timeout', () => this.noteEnd('idle_limit'));
    socket.once('close', () => {
      this.#exchanges.close();
      this.#finishWait?.();
      this.#recordEnd();
    });
  }

  /** Notes why the connection is about to end; the first reason counts. */
  noteEnd(reason: EndReason, detail?: string): void {
    if (this.#endReason === undefined) {
      this.#endReason = reason;
      this.#endDetail = detail;
    }
  }

  /** Queues a request that the HTTP parser has read on this connection. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    const disconnected = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) {
        disconnected.abort();
      }
    });
    this.#requestCount += 1;
    this.#lastRequest = request;
    request.once('end', () => {
      this.#completeBytes = this.#socket.bytesRead;
    });
    const receivedId = request.headers['x-request-id'];
    const requestId =
      typeof receivedId === 'string' && REQUEST_ID.test(receivedId) ? receivedId : randomUUID();
    const markForwarded = this.#trackAnswer(request, response, requestId);
    const cut = (cause: string): void => {
      this.noteEnd('answer_cut', cause);
      response.destroy();
    };
    const { signal } = disconnected;
    this.#exchanges.push({ request, response, requestId, signal, markForwarded, cut });
    this.#finishWait?.();
  }

  /** Keeps the figures of a request until its answer is complete. Returns a function that marks it as forwarded. */
  #trackAnswer(request: IncomingMessage, response: ServerResponse, requestId: string): () => void {
    const { clock } = this.#options;
    const bytesBefore = this.#completeBytes;
    const arrivedAtMs = clock.nowMs();
    let forwarded = false;
    this.#unanswered.set(response, () => ({
      requestId,
      bodyComplete: request.complete,
      receivedBytes: this.#socket.bytesRead - bytesBefore,
      forwarded,
      answerBegun: response.headersSent,
      ageMs: Math.round(clock.nowMs() - arrivedAtMs),
    }));
    response.once('finish', () => {
      this.#unanswered.delete(response);
      this.#idleSinceMs = clock.nowMs();
    });
    return () => {
      forwarded = true;
    };
  }

  /** Records the end of the connection with the requests that it leaves unanswered. */
  #recordEnd(): void {
    const reason = this.#endReason ?? (this.#socket.errored === null ? 'answered' : 'caller');
    const detail = this.#endDetail ?? this.#socket.errored?.message;
    const unanswered = [...this.#unanswered.values()].map((describe) => describe());
    const isHeadPartial =
      unanswered.length === 0 &&
      this.#lastRequest?.complete !== false &&
      this.#socket.bytesRead !== this.#completeBytes;
    this.#options.ends.record({
      reason,
      detail,
      unanswered: isHeadPartial ? [this.#describePartialHead()] : unanswered,
    });
  }

  #describePartialHead(): UnansweredRequest {
    return {
      requestId: undefined,
      bodyComplete: false,
      receivedBytes: this.#socket.bytesRead - this.#completeBytes,
      forwarded: false,
      answerBegun: false,
      ageMs: Math.round(this.#options.clock.nowMs() - this.#idleSinceMs),
    };
  }

  override async run(signal: AbortSignal): Promise<void> {
    const stop = (): void => {
      this.#stop().catch(() => this.#exchanges.close());
    };
    signal.addEventListener('abort', stop, { once: true });
    for await (const exchange of this.#exchanges) {
      await this.#serve(exchange, signal);
    }
    signal.removeEventListener('abort', stop);
    this.noteEnd('stop');
    this.#socket.end();
  }

  /** Closes the queue of requests once no request is expected any more. */
  async #stop(): Promise<void> {
    await waitForEventLoop();
    if (this.#isRequestExpected) {
      await this.#waitForRequest();
    }
    this.#exchanges.close();
  }

  /** Whether a request has begun to arrive, or the connection has not received any yet. */
  get #isRequestExpected(): boolean {
    return this.#requestCount === 0 || this.#socket.bytesRead !== this.#completeBytes;
  }

  /** Waits for the next request, for the end of the connection or for `EXPECTED_REQUEST_MS`. */
  #waitForRequest(): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, EXPECTED_REQUEST_MS);
      this.#finishWait = () => {
        clearTimeout(timer);
        resolve();
      };
    });
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
    await this.#options.server.serve(exchange);
    signal.removeEventListener('abort', announceClose);
    if (!response.writableFinished && !response.destroyed) {
      await new Promise<void>((resolve) => {
        response.once('finish', resolve);
        response.once('close', resolve);
      });
    }
  }
}
