/** Follows the requests of one connection, and records at its close how it ended and which had no complete answer. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type Clock from '../supervision/Clock.js';
import type ConnectionEnd from './ConnectionEnd.js';
import type ConnectionEndRecorder from './ConnectionEndRecorder.js';

type EndReason = ConnectionEnd['reason'];
type UnansweredRequest = ConnectionEnd['unanswered'][number];

export default class ConnectionTrace {
  readonly #socket: Socket;

  readonly #clock: Clock;

  /** Describes the requests that are not answered yet, in the order of their arrival. */
  readonly #unanswered = new Map<ServerResponse, () => UnansweredRequest>();

  #lastRequest: IncomingMessage | undefined;

  #lastResponse: ServerResponse | undefined;

  /** Bytes read from the socket when the last request was complete. */
  #completeBytes = 0;

  #idleSinceMs: number;

  #endReason: EndReason | undefined;

  #endDetail: string | undefined;

  constructor(socket: Socket, clock: Clock, ends: ConnectionEndRecorder) {
    this.#socket = socket;
    this.#clock = clock;
    this.#idleSinceMs = clock.nowMs();
    socket.once('end', () => this.noteEnd('caller'));
    socket.once('close', () => ends.record(this.#describeEnd()));
  }

  /** Whether bytes have arrived since the last request was complete. */
  get hasPartialRequest(): boolean {
    return this.#socket.bytesRead !== this.#completeBytes;
  }

  /** Whether the head of the last request has been read, but not yet its whole body. */
  get isReadingBody(): boolean {
    return this.#lastRequest?.complete === false;
  }

  /** Whether the head of the answer to the last request has been sent. */
  get hasBegunAnswer(): boolean {
    return this.#lastResponse?.headersSent === true;
  }

  /** When the connection was opened or its last answer ended. */
  get idleSinceMs(): number {
    return this.#idleSinceMs;
  }

  /** Follows a request until its answer is complete. Returns a function that marks it as forwarded. */
  track(request: IncomingMessage, response: ServerResponse, requestId: string): () => void {
    const bytesBefore = this.#completeBytes;
    const arrivedAtMs = this.#clock.nowMs();
    let forwarded = false;
    this.#lastRequest = request;
    this.#lastResponse = response;
    request.once('end', () => {
      this.#completeBytes = this.#socket.bytesRead;
    });
    this.#unanswered.set(response, () => ({
      requestId,
      bodyComplete: request.complete,
      receivedBytes: this.#socket.bytesRead - bytesBefore,
      forwarded,
      answerBegun: response.headersSent,
      ageMs: Math.round(this.#clock.nowMs() - arrivedAtMs),
    }));
    response.once('finish', () => this.#unanswered.delete(response));
    return () => {
      forwarded = true;
    };
  }

  noteIdle(): void {
    this.#idleSinceMs = this.#clock.nowMs();
  }

  /** Notes why the connection is about to end; the first reason counts. */
  noteEnd(reason: EndReason, detail?: string): void {
    if (this.#endReason === undefined) {
      this.#endReason = reason;
      this.#endDetail = detail;
    }
  }

  #describeEnd(): ConnectionEnd {
    const { errored } = this.#socket;
    const unanswered = [...this.#unanswered.values()].map((describe) => describe());
    const isHeadPartial = unanswered.length === 0 && !this.isReadingBody && this.hasPartialRequest;
    return {
      reason: this.#endReason ?? (errored === null ? 'answered' : 'caller'),
      detail: this.#endDetail ?? errored?.message,
      unanswered: isHeadPartial ? [this.#describePartialHead()] : unanswered,
    };
  }

  #describePartialHead(): UnansweredRequest {
    return {
      requestId: undefined,
      bodyComplete: false,
      receivedBytes: this.#socket.bytesRead - this.#completeBytes,
      forwarded: false,
      answerBegun: false,
      ageMs: Math.round(this.#clock.nowMs() - this.#idleSinceMs),
    };
  }
}
