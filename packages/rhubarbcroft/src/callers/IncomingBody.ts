/**
 * The body of a request, collected in one growing buffer from the moment the head is read, however small its chunks.
 * Until the request is its connection's turn, only the first part is taken. Fails with `BODY_TOO_LARGE` at the head that
 * announces too much or at the first byte beyond the limit, with `BODY_TOO_SLOW` at the time limit, with `INTAKE_FULL`
 * when the process can hold no more, and with `MALFORMED_BODY` when the connection closes early. What arrives after a
 * failure is discarded.
 */
import type { IncomingMessage } from 'node:http';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type Holding from './Holding.js';

interface BodyLimits {
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: number;
}

const FIRST_BYTES = 16_384;
/** Announced bodies up to this size are collected in a buffer of exactly their size. */
const MAX_EXACT_BYTES = 262_144;
/** What is taken of a body before it is read. */
const AHEAD_BYTES = 65_536;
const RETRY_AFTER_MS = 500;
const EMPTY: Buffer = Buffer.alloc(0);

export default class IncomingBody {
  readonly #request: IncomingMessage;

  readonly #holding: Holding;

  readonly #announcedBytes: number;

  #buffer = EMPTY;

  #bytes = 0;

  #maxBytes = Infinity;

  #result: Result<Buffer, Failure> | undefined;

  #settle: ((result: Result<Buffer, Failure>) => void) | undefined;

  constructor(request: IncomingMessage, holding: Holding) {
    const { headers } = request;
    this.#request = request;
    this.#holding = holding;
    this.#announcedBytes = Number(headers['content-length'] ?? Infinity);
    const isClosed = 'the connection closed before the whole body arrived';
    request.once('end', () => this.#end(ok(this.#buffer.subarray(0, this.#bytes))));
    request.once('error', () => this.#fail('MALFORMED_BODY', isClosed));
    request.once('close', () => this.#fail('MALFORMED_BODY', isClosed));
    holding.onShed(() => this.#fail('INTAKE_FULL', 'a request that waited gave way to others'));
    if (headers['transfer-encoding'] !== undefined || headers['content-length'] !== undefined) {
      request.on('data', (chunk: Buffer) => this.#receive(chunk));
    }
  }

  /** Reads the body to its end. */
  async read({ maxBodyBytes, bodyTimeoutMs }: BodyLimits): Promise<Result<Buffer, Failure>> {
    this.#maxBytes = maxBodyBytes;
    const expectedBytes = Math.max(
      this.#bytes,
      this.#announcedBytes === Infinity ? 0 : this.#announcedBytes,
    );
    if (expectedBytes > maxBodyBytes) {
      this.#refuseSize();
    }
    this.#request.resume();
    if (this.#result !== undefined) {
      return this.#take(this.#result);
    }
    const timer = setTimeout(
      () => this.#fail('BODY_TOO_SLOW', `the body was still incomplete after ${bodyTimeoutMs} ms`),
      bodyTimeoutMs,
    );
    return new Promise<Result<Buffer, Failure>>((resolve) => {
      this.#settle = resolve;
    })
      .then((result) => this.#take(result))
      .finally(() => clearTimeout(timer));
  }

  /** Drops the buffer, which the reader of the body now holds as long as it needs it. */
  #take(result: Result<Buffer, Failure>): Result<Buffer, Failure> {
    this.#buffer = EMPTY;
    this.#result = ok(EMPTY);
    return result;
  }

  #receive(chunk: Buffer): void {
    if (this.#result !== undefined) {
      return;
    }
    const bytes = this.#bytes + chunk.length;
    if (bytes > this.#maxBytes) {
      this.#refuseSize();
      return;
    }
    if (this.#bytes === 0 && bytes === this.#announcedBytes) {
      // A body that arrives at once is kept as it is.
      if (this.#reserve(bytes)) {
        this.#buffer = chunk;
        this.#bytes = bytes;
      }
      return;
    }
    if (bytes > this.#buffer.length && !this.#grow(bytes)) {
      return;
    }
    chunk.copy(this.#buffer, this.#bytes);
    this.#bytes = bytes;
    this.#holding.noteMove();
    if (this.#settle === undefined && bytes >= AHEAD_BYTES) {
      this.#request.pause();
    }
  }

  #grow(neededBytes: number): boolean {
    const isExact = this.#announcedBytes <= MAX_EXACT_BYTES;
    const wantedBytes = isExact ? this.#announcedBytes : 2 * this.#buffer.length;
    const cappedBytes = Math.min(
      Math.max(FIRST_BYTES, wantedBytes),
      this.#announcedBytes,
      this.#maxBytes,
    );
    const capacityBytes = Math.max(neededBytes, cappedBytes);
    if (!this.#reserve(capacityBytes - this.#buffer.length)) {
      return false;
    }
    const grown = Buffer.allocUnsafe(capacityBytes);
    this.#buffer.copy(grown, 0, 0, this.#bytes);
    this.#buffer = grown;
    return true;
  }

  #reserve(bytes: number): boolean {
    const isReserved = this.#holding.reserve(bytes);
    if (!isReserved) {
      this.#fail('INTAKE_FULL', 'no room for the body');
    }
    return isReserved;
  }

  #refuseSize(): void {
    this.#fail('BODY_TOO_LARGE', `more than ${this.#maxBytes} bytes were announced or received`);
  }

  #fail(
    code: 'BODY_TOO_LARGE' | 'BODY_TOO_SLOW' | 'INTAKE_FULL' | 'MALFORMED_BODY',
    detail: string,
  ): void {
    if (this.#result !== undefined) {
      return;
    }
    this.#buffer = EMPTY;
    this.#holding.release();
    const retryAfterMs = code === 'INTAKE_FULL' ? RETRY_AFTER_MS : undefined;
    this.#end(err(createFailure(code, detail, 'not_run', retryAfterMs)));
  }

  #end(result: Result<Buffer, Failure>): void {
    if (this.#result === undefined) {
      this.#result = result;
      this.#settle?.(result);
    }
  }
}
