/** Sends HTTP requests to the platform over one connection pool and returns each outcome as a `Result`. */
import { Pool } from 'undici';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';

interface PlatformRequest {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body?: string | Uint8Array;
}

interface SendOptions {
  /** Overrides the client's default timeout for this request. */
  readonly timeoutMs?: number;
  /** Aborts the request. */
  readonly signal?: AbortSignal;
}

interface PlatformResponse {
  readonly status: number;
  readonly body: Uint8Array;
}

const MAX_CONNECTIONS = 8;
const FIRST_SERVER_ERROR = 500;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;
const NOT_SENT_ERRORS = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

export default class PlatformClient {
  readonly #pool: Pool;

  readonly #timeoutMs: number;

  constructor(url: string, timeoutMs: number) {
    this.#pool = new Pool(url, { connections: MAX_CONNECTIONS, connect: { timeout: timeoutMs } });
    this.#timeoutMs = timeoutMs;
  }

  /**
   * Returns each response with a status below 500 other than 429. Fails with `PLATFORM_UNAVAILABLE` when the
   * request was not sent or was rejected (429, 503), and with `PLATFORM_ANSWER_LOST` when it may have taken
   * effect.
   */
  async send(
    request: PlatformRequest,
    options: SendOptions = {},
  ): Promise<Result<PlatformResponse, Failure>> {
    const timeout = AbortSignal.timeout(options.timeoutMs ?? this.#timeoutMs);
    const signal =
      options.signal === undefined ? timeout : AbortSignal.any([timeout, options.signal]);
    try {
      const response = await this.#pool.request({
        ...request,
        headers: { 'content-type': 'application/json' },
        signal,
      });
      const body = new Uint8Array(await response.body.arrayBuffer());
      const { statusCode } = response;
      if (statusCode >= FIRST_SERVER_ERROR || statusCode === STATUS_TOO_MANY_REQUESTS) {
        const code =
          statusCode === STATUS_UNAVAILABLE || statusCode === STATUS_TOO_MANY_REQUESTS
            ? 'PLATFORM_UNAVAILABLE'
            : 'PLATFORM_ANSWER_LOST';
        return err(createFailure(code, `${request.path}: status ${statusCode}`));
      }
      return ok({ status: statusCode, body });
    } catch (error) {
      const notSent = NOT_SENT_ERRORS.has((error as NodeJS.ErrnoException).code ?? '');
      const code = notSent ? 'PLATFORM_UNAVAILABLE' : 'PLATFORM_ANSWER_LOST';
      return err(createFailure(code, `${request.path}: ${(error as Error).message}`));
    }
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }
}
