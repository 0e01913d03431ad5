/**
 * The task of one HTTP connection. Serves the requests of the connection one after the other, and closes the
 * connection when it has been idle for longer than the limit in force and longer than its `Keep-Alive` header
 * promised. When the task is stopped, it finishes the requests already received, announces the end of the connection
 * with `connection: close`, and closes it.
 *
 * Bytes that the kernel has received but the parser has not read yet count as received: a connection closes only
 * after the event loop has read them. A stopped connection waits for a request that has begun to arrive and for the
 * first request of a new connection.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { randomUUID } from 'node:crypto';
import type { Socket } from 'node:net';
import type WaitingConnection from '../decisions/intake/WaitingConnection.js';
import type Clock from '../supervision/Clock.js';
import Task from '../supervision/Task.js';
import waitForAbort from '../supervision/waitForAbort.js';
import waitForEventLoop from '../supervision/waitForEventLoop.js';
import type ConnectionEndRecorder from './ConnectionEndRecorder.js';
import ConnectionTrace from './ConnectionTrace.js';
import type ConnectionTimeouts from './ConnectionTimeouts.js';
import type HttpExchange from './HttpExchange.js';
import type HttpExchangeServer from './HttpExchangeServer.js';
import Holding from './Holding.js';
import IncomingBody from './IncomingBody.js';
import type IntakeAccount from './IntakeAccount.js';
import type ParserRejection from './ParserRejection.js';
import refuseUnparsed from './refuseUnparsed.js';

interface HttpConnectionOptions {
  readonly server: HttpExchangeServer;
  readonly clock: Clock;
  readonly ends: ConnectionEndRecorder;
  readonly intake: IntakeAccount;
  /** The limits in force; `idleTimeoutMs` is also what `Keep-Alive` promises to the request being parsed. */
  readonly readTimeouts: () => ConnectionTimeouts;
}

/** Request ids that are accepted from callers; others are replaced by a generated id. */
const REQUEST_ID = /^[\w.-]{8,64}$/;
/** How long a stopped connection waits for a request that is expected: a round trip between regions and a slow core. */
const EXPECTED_REQUEST_MS = 1_000;
/** Added to the idle limit, for a request that its caller sends just before the limit. */
const IDLE_MARGIN_MS = 1_000;
/** Requests that may wait behind the one that is served before the connection stops reading. */
const PAUSE_COUNT = 4;
/** Requests that may wait; one read of the socket can bring more than those at which reading stops. */
const MAX_WAITING_COUNT = 32;
/** How long a closing connection waits for the caller's own close before it is destroyed. */
const LINGER_MS = 1_000;

/** Whether an answer announced that its connection closes, for this node or at the caller's wish. */
function isLast(response: ServerResponse): boolean {
  return !response.shouldKeepAlive || response.getHeader('connection') === 'close';
}

export default class HttpConnection extends Task implements WaitingConnection {
  override readonly name = 'http-connection';

  readonly #socket: Socket;

  readonly #options: HttpConnectionOptions;

  /** The requests that wait to be served. */
  readonly #exchanges: HttpExchange[] = [];

  #current: HttpExchange | undefined;

  #requestCount = 0;

  /** What the HTTP server rejected after the requests that it has read; undefined while it has rejected nothing. */
  #rejection: ParserRejection | undefined;

  /** Ends the task's wait for a request; undefined while it does not wait. */
  #wake: (() => void) | undefined;

  /** The idle time that the `Keep-Alive` header of the last answer allows. */
  #promisedIdleMs = 0;

  readonly #trace: ConnectionTrace;

  constructor(socket: Socket, options: HttpConnectionOptions) {
    super();
    this.#socket = socket;
    this.#options = options;
    this.#trace = new ConnectionTrace(socket, options.clock, options.ends);
    socket.once('close', () => {
      this.#exchanges.forEach(({ holding }) => holding.close());
      this.#wake?.();
    });
  }

  /** Notes why the connection is about to end; the first reason counts. */
  noteEnd(...[reason, detail]: Parameters<ConnectionTrace['noteEnd']>): void {
    this.#trace.noteEnd(reason, detail);
  }

  get isServing(): boolean {
    return this.#current?.holding.phase === 'running';
  }

  get sinceMs(): number {
    return this.#current?.holding.movedAtMs ?? this.#trace.idleSinceMs;
  }

  /** Closes the connection, so that others fit into the limit. */
  giveWay(): void {
    this.noteEnd('connection_limit');
    this.#socket.destroy();
  }

  /** Queues a request that the HTTP parser has read on this connection. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    if (this.#exchanges.length >= MAX_WAITING_COUNT) {
      this.noteEnd('read_ahead');
      this.#socket.destroy();
    }
    if (this.#socket.destroyed) {
      return;
    }
    const disconnected = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) {
        disconnected.abort();
      }
    });
    this.#requestCount += 1;
    this.#promisedIdleMs = this.#options.readTimeouts().idleTimeoutMs;
    const receivedId = request.headers['x-request-id'];
    const requestId =
      typeof receivedId === 'string' && REQUEST_ID.test(receivedId) ? receivedId : randomUUID();
    // A head that was found too slow may have arrived, unread, before its time limit.
    this.#rejection = undefined;
    const markForwarded = this.#trace.track(request, response, requestId);
    const cut = (cause: string): void => {
      this.noteEnd('answer_cut', cause);
      response.destroy();
    };
    const announceClose = (): void => {
      if (!response.headersSent && this.#exchanges.length === 0) {
        response.setHeader('connection', 'close');
      }
    };
    const { signal } = disconnected;
    if (!this.#socket.writableEnded) {
      const holding = new Holding(this.#options.intake, request, response);
      this.#exchanges.push({
        ...{ request, response, requestId, signal, markForwarded, announceClose, cut },
        ...{ holding, body: new IncomingBody(request, holding) },
      });
      if (this.#exchanges.length >= PAUSE_COUNT) {
        this.#socket.pause();
      }
      this.#wake?.();
    }
  }

  /** Refuses what the HTTP server rejected; if it comes behind an unfinished answer, once that is complete. */
  reject(rejection: ParserRejection): void {
    if (rejection.reason === 'caller') {
      this.noteEnd(rejection.reason, rejection.code);
      this.#socket.end();
      return;
    }
    this.#rejection = rejection;
    if (this.#trace.isReadingBody) {
      this.#refuse(rejection);
    }
    this.#wake?.();
  }

  #refuse(rejection: ParserRejection): void {
    this.noteEnd(rejection.reason, rejection.code);
    const hasNoRequest = rejection.reason === 'header_timeout' && !this.#trace.hasPartialRequest;
    const isAnswering = this.#trace.isReadingBody && this.#trace.hasBegunAnswer;
    if (this.#socket.writable && !hasNoRequest && !isAnswering) {
      refuseUnparsed(rejection, this.#socket);
    }
  }

  override async run(signal: AbortSignal): Promise<void> {
    const wake = (): void => this.#wake?.();
    signal.addEventListener('abort', wake, { once: true });
    try {
      await this.#serveAll(signal);
    } catch (error) {
      this.noteEnd('internal_error', (error as Error).message);
      this.#socket.destroy();
      throw error;
    } finally {
      signal.removeEventListener('abort', wake);
    }
    if (this.#rejection !== undefined) {
      this.#refuse(this.#rejection);
    }
    this.#socket.end();
    await this.#sleep(LINGER_MS);
    this.#socket.destroy();
  }

  async #serveAll(signal: AbortSignal): Promise<void> {
    let exchange = await this.#receive(signal);
    while (exchange !== undefined) {
      await this.#serve(exchange, signal);
      // What is queued behind an answer that announced the close would run without being answered.
      exchange = isLast(exchange.response) ? undefined : await this.#receive(signal);
    }
  }

  /** Waits for the next request. Returns undefined when the connection has closed or is to be closed. */
  async #receive(signal: AbortSignal): Promise<HttpExchange | undefined> {
    let isIdleLimitReached = false;
    while (this.#isWaiting && !signal.aborted && !isIdleLimitReached) {
      if (this.#idleLeftMs > 0) {
        await this.#sleep(this.#idleLeftMs);
      } else {
        await waitForEventLoop();
        isIdleLimitReached = this.#idleLeftMs <= 0;
      }
    }
    if (this.#rejection?.reason === 'header_timeout') {
      await waitForEventLoop();
    }
    if (this.#isWaiting && signal.aborted) {
      await this.#finishReceiving();
    }
    if (this.#isWaiting) {
      this.noteEnd(signal.aborted ? 'stop' : 'idle_limit');
    }
    if (!this.#socket.writable) {
      return undefined;
    }
    const exchange = this.#exchanges.shift();
    if (this.#exchanges.length === PAUSE_COUNT - 1) {
      this.#socket.resume();
    }
    return exchange;
  }

  /** Reads what a stopped connection has received, and waits for the request that is expected. */
  async #finishReceiving(): Promise<void> {
    await waitForEventLoop();
    if (this.#isRequestExpected) {
      await this.#sleep(EXPECTED_REQUEST_MS);
    }
  }

  /** Whether the connection is open and may receive a request, and none is queued. */
  get #isWaiting(): boolean {
    return this.#exchanges.length === 0 && this.#rejection === undefined && !this.#socket.destroyed;
  }

  /** Whether no request is queued, but one has begun to arrive or the connection has not received any yet. */
  get #isRequestExpected(): boolean {
    return this.#isWaiting && (this.#requestCount === 0 || this.#trace.hasPartialRequest);
  }

  /** Time until the idle limit closes the connection. Until the first request, the HTTP server limits the wait. */
  get #idleLeftMs(): number {
    if (this.#requestCount === 0) {
      return Infinity;
    }
    const { idleTimeoutMs, headerTimeoutMs } = this.#options.readTimeouts();
    const idleMs = Math.max(idleTimeoutMs, this.#promisedIdleMs) + IDLE_MARGIN_MS;
    const limitMs = this.#trace.hasPartialRequest ? idleMs + headerTimeoutMs : idleMs;
    return this.#trace.idleSinceMs + limitMs - this.#options.clock.nowMs();
  }

  /** Sleeps until a request is queued, the connection closes, the task is stopped or the time is over. */
  async #sleep(delayMs: number): Promise<void> {
    if (this.#socket.destroyed) {
      return;
    }
    const woken = new AbortController();
    this.#wake = () => woken.abort();
    await (delayMs === Infinity
      ? waitForAbort(woken.signal)
      : this.#options.clock.sleep(delayMs, woken.signal));
    this.#wake = undefined;
  }

  async #serve(exchange: HttpExchange, signal: AbortSignal): Promise<void> {
    const { response, announceClose } = exchange;
    this.#current = exchange;
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
    this.#current = undefined;
    this.#trace.noteIdle();
  }
}
