/**
 * Sends HTTP requests to the platform over one connection pool and returns each outcome as a `Result`. Connections may
 * fall silent, several at once: after a lost answer all further requests use new ones.
 */
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
  readonly #url: string;

  readonly #timeoutMs: number;

  #pool: Pool;

  /** Replaced pools on which requests are still in flight. */
  readonly #retired = new Set<Pool>();

  constructor(url: string, timeoutMs: number) {
    this.#url = url;
    this.#timeoutMs = timeoutMs;
    this.#pool = this.#createPool();
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
    const pool = this.#pool;
    try {
      const response = await pool.request({
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
      if (options.signal?.aborted !== true) {
        this.#retire(pool);
      }
      const notSent = NOT_SENT_ERRORS.has((error as NodeJS.ErrnoException).code ?? '');
      const code = notSent ? 'PLATFORM_UNAVAILABLE' : 'PLATFORM_ANSWER_LOST';
      return err(createFailure(code, `${request.path}: ${(error as Error).message}`));
    }
  }

  async close(): Promise<void> {
    await Promise.all([this.#pool, ...this.#retired].map((pool) => pool.destroy()));
  }

  #createPool(): Pool {
    return new Pool(this.#url, {
      connections: MAX_CONNECTIONS,
      connect: { timeout: this.#timeoutMs },
    });
  }

  /** Replaces a pool. Its idle connections are closed now, the others when their requests have ended. */
  #retire(pool: Pool): void {
    if (pool !== this.#pool) {
      return;
    }
    this.#pool = this.#createPool();
    this.#retired.add(pool);
    void pool.close().finally(() => this.#retired.delete(pool));
  }
}
