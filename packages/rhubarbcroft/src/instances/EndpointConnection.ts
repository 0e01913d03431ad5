/**
 * One HTTP connection to an endpoint. It is never reopened, so a request that failed before the connection was
 * established was certainly not sent. A body without a framing header ends with its connection: it is complete if the
 * endpoint closed the connection in order, and an error if the connection was reset. An answer whose bytes outside its
 * body do not end is an error too.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { Client } from 'undici';
import type { Dispatcher } from 'undici';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type AttemptFailure from '../endpoints/AttemptFailure.js';
import waitForEventLoop from '../supervision/waitForEventLoop.js';
import type EndpointAnswer from './EndpointAnswer.js';
import type EndpointCall from './EndpointCall.js';

/** An idle connection is closed this long before the keep-alive time-out that the endpoint announced. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
/** How long an idle connection is kept at most, also when the endpoint announces no time-out. */
const KEEP_ALIVE_MS = 4_000;
/** Above all heads and what may be read ahead of a caller that reads slowly. */
const MAX_OVERHEAD_BYTES = 1_048_576;
/** A chunk of one byte has five bytes of framing; endpoints may add short extensions. */
const MAX_OVERHEAD_PER_BODY_BYTE = 16;
/** Unread bytes of a body beyond which its connection is closed, as large as the largest buffered answer. */
const MAX_UNREAD_BYTES = 2_097_152;
/**
 * Unread bytes at which the client pauses its parser, above what the limit lets accumulate: it throws outside the
 * request, and so ends the process, if the connection ends while its parser is paused.
 */
const PAUSE_BYTES = 2 * MAX_UNREAD_BYTES;
const FIRST_REDIRECT = 300;
/** No Content and Not Modified: answers that never have a body. */
const BODILESS_STATUSES = new Set([204, 304]);

function listHeaderValues(rawHeaders: readonly string[], name: string): readonly string[] {
  return rawHeaders.filter(
    (_value, index) => index % 2 === 1 && rawHeaders[index - 1].toLowerCase() === name,
  );
}

/** A transfer coding that changes the body or leaves its end open; callers request none. */
function findForeignCoding(rawHeaders: readonly string[]): string | undefined {
  return listHeaderValues(rawHeaders, 'transfer-encoding').find(
    (value) => value.trim().toLowerCase() !== 'chunked',
  );
}

/** Whether a header marks the end of the body; otherwise the body ends with the connection. */
function isFramed(rawHeaders: readonly string[]): boolean {
  return ['content-length', 'transfer-encoding'].some(
    (name) => listHeaderValues(rawHeaders, name).length > 0,
  );
}

export default class EndpointConnection {
  readonly #client: Client;

  #socket: Socket | undefined;

  #hasStarted = false;

  #isClosed = false;

  /** Whether the client tried to open the connection again, which it does only for a request that it has not sent. */
  #wasReopened = false;

  /** Whether the endpoint has closed its side in order; not set when the connection fails. */
  #hasEnded = false;

  #answerCount = 0;

  /** Bytes read on the connection before the current answer. */
  #bytesBefore = 0;

  /** Bytes of the current answer's body that were returned. */
  #bodyBytes = 0;

  /** Called once the request of a new connection is sent. */
  #handleConnected: () => void = () => undefined;

  /** The current answer's body. */
  #body: Dispatcher.ResponseData['body'] | undefined;

  constructor(address: string, connectTimeoutMs: number) {
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      connect: (options, callback) => {
        if (this.#hasStarted) {
          this.#wasReopened = true;
          callback(new Error('the connection was closed and is not reopened'), null);
          return;
        }
        this.#hasStarted = true;
        this.#open(options.hostname, Number(options.port), connectTimeoutMs, callback);
      },
    });
  }

  /** Whether another request may be sent on this connection. */
  get isOpen(): boolean {
    return this.#socket !== undefined && !this.#isClosed && !this.#socket.destroyed;
  }

  /** Whether the connection had closed before its last request was sent, so that another one may be used instead. */
  get wasClosedUnused(): boolean {
    return this.#wasReopened;
  }

  /** Sends a request; returns once the headers of the answer have arrived. `onSent` is called when it is being sent. */
  async send(
    call: EndpointCall,
    signal: AbortSignal,
    onSent: () => void = () => undefined,
  ): Promise<Result<EndpointAnswer, AttemptFailure>> {
    this.#startByteCount();
    this.#handleConnected = onSent;
    if (this.isOpen) {
      onSent();
    }
    try {
      const response = await this.#client.request({
        method: call.method,
        path: call.path,
        headers: [...call.headers],
        body: call.body === undefined || call.body.length === 0 ? null : call.body,
        signal,
        responseHeaders: 'raw',
        highWaterMark: PAUSE_BYTES,
      });
      this.#body = response.body;
      const rawHeaders = response.headers as unknown as readonly string[];
      const coding = findForeignCoding(rawHeaders);
      if (coding !== undefined) {
        this.close();
        return err({ kind: 'broken', detail: `the answer has the transfer coding "${coding}"` });
      }
      const status = response.statusCode;
      const hasNoBody = call.method === 'HEAD' || BODILESS_STATUSES.has(status);
      const body =
        hasNoBody || isFramed(rawHeaders)
          ? this.#readBody(response.body)
          : this.#readUnframedBody(response.body, status);
      const isFirst = this.#answerCount === 0;
      this.#answerCount += 1;
      return ok({ status, rawHeaders, body, isFirst });
    } catch (error) {
      const detail = (error as Error).message;
      const wasUnsent = this.#socket === undefined || this.#wasReopened;
      return err({ kind: wasUnsent ? 'unsent' : 'broken', detail });
    }
  }

  close(): void {
    this.#isClosed = true;
    void this.#client.destroy();
  }

  async *#readBody(body: Dispatcher.ResponseData['body']): AsyncGenerator<Buffer, void, undefined> {
    for await (const chunk of body) {
      this.#bodyBytes += (chunk as Buffer).length;
      yield chunk as Buffer;
    }
  }

  /**
   * Reads a body that ends with its connection. The client completes it on a reset too. A success without a body is an
   * error, because an endpoint that stops after its head leaves the same bytes.
   */
  async *#readUnframedBody(
    body: Dispatcher.ResponseData['body'],
    status: number,
  ): AsyncGenerator<Buffer, void, undefined> {
    yield* this.#readBody(body);
    this.close();
    if (!this.#hasEnded) {
      throw new Error('the connection failed during an answer that ends with its connection');
    }
    if (this.#bodyBytes === 0 && status < FIRST_REDIRECT) {
      throw new Error('the connection closed after the head of an answer without a length');
    }
  }

  #startByteCount(): void {
    this.#bytesBefore = this.#socket?.bytesRead ?? 0;
    this.#bodyBytes = 0;
    this.#body = undefined;
  }

  /**
   * Ends a connection on which the bytes that carry no body do not end (heads, interim answers, chunk extensions), or
   * whose reader is too far behind.
   */
  #checkOverhead(socket: Socket): void {
    const unreadBytes = this.#body?.readableLength ?? 0;
    if (unreadBytes > MAX_UNREAD_BYTES) {
      socket.destroy(new Error(`${unreadBytes} bytes of the answer are unread`));
      return;
    }
    const overheadBytes = socket.bytesRead - this.#bytesBefore - this.#bodyBytes - unreadBytes;
    if (overheadBytes > MAX_OVERHEAD_BYTES + this.#bodyBytes * MAX_OVERHEAD_PER_BODY_BYTE) {
      socket.destroy(new Error(`${overheadBytes} bytes of the answer carry no body`));
    }
  }

  #open(
    host: string,
    port: number,
    timeoutMs: number,
    callback: (...args: [null, Socket] | [Error, null]) => void,
  ): void {
    const socket = connect({ host, port, noDelay: true });
    const timer = setTimeout(() => {
      // Timers run before sockets are polled, so a busy node may not know yet that it is connected.
      void waitForEventLoop().then(() => {
        if (socket.connecting) {
          socket.destroy(new Error(`connection not established within ${timeoutMs} ms`));
        }
      });
    }, timeoutMs);
    const fail = (error: Error): void => {
      clearTimeout(timer);
      callback(error, null);
    };
    socket.once('error', fail);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.removeListener('error', fail);
      // The client reports errors of a request in flight; an idle connection that fails is not reused.
      socket.on('error', () => undefined);
      socket.once('close', () => {
        this.#isClosed = true;
      });
      socket.once('end', () => {
        // A reset that is read together with data ends the socket like a close, but the peer is gone then.
        this.#hasEnded = socket.remoteAddress !== undefined;
      });
      this.#socket = socket;
      // Before the client's own listener, which parses what was read.
      socket.on('readable', () => this.#checkOverhead(socket));
      callback(null, socket);
      this.#handleConnected();
    });
  }
}
