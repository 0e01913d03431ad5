/**
 * HTTP driver of a model engine: server-sent events for generations, JSON for everything else.
 *
 * Engines send a comment at least every half second while a request waits or runs, so a body without
 * any data within the progress time-out means that the engine or the connection has stalled.
 */
import { Pool } from 'undici';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type LoadReport from '@rhubarbcroft/protocol/fleet/LoadReport';
import type AttemptFailure from './AttemptFailure.js';
import EngineDriver from './EngineDriver.js';
import type EngineOrder from './EngineOrder.js';
import type EngineRequest from './EngineRequest.js';
import type EngineStream from './EngineStream.js';
import type OrderStatus from './OrderStatus.js';
import SseReader from './SseReader.js';
import classifyError from './classifyError.js';

interface DriverTimeouts {
  readonly connectTimeoutMs: number;
  readonly progressTimeoutMs: number;
}

const STATUS_OK = 200;
const STATUS_ACCEPTED = 202;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_TOO_MANY = 429;
const STATUS_UNAVAILABLE = 503;
const JSON_HEADERS = { 'content-type': 'application/json' };
const CONTROL_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_TIMEOUT_MS = 2_000;

export default class HttpEngineDriver extends EngineDriver {
  readonly #endpointId: string;

  readonly #pool: Pool;

  readonly #progressTimeoutMs: number;

  constructor(endpointId: string, url: string, timeouts: DriverTimeouts) {
    super();
    this.#endpointId = endpointId;
    this.#progressTimeoutMs = timeouts.progressTimeoutMs;
    this.#pool = new Pool(url, {
      connect: { timeout: timeouts.connectTimeoutMs },
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      headersTimeout: timeouts.progressTimeoutMs,
      bodyTimeout: timeouts.progressTimeoutMs,
    });
  }

  override async openStream(
    request: EngineRequest,
    signal: AbortSignal,
  ): Promise<Result<EngineStream, AttemptFailure>> {
    try {
      const response = await this.#pool.request({
        method: 'POST',
        path: '/v1/generate',
        headers: JSON_HEADERS,
        body: JSON.stringify(request),
        signal,
      });
      if (response.statusCode === STATUS_OK) {
        return ok(new SseReader(request.attemptId, response.body, request.resumeFrom));
      }
      return err(HttpEngineDriver.#classifyStatus(response.statusCode, await response.body.text()));
    } catch (error) {
      return err(classifyError(error));
    }
  }

  override async prefill(
    request: EngineRequest,
    signal: AbortSignal,
  ): Promise<Result<string, AttemptFailure>> {
    try {
      const response = await this.#pool.request({
        method: 'POST',
        path: '/v1/prefill',
        headers: JSON_HEADERS,
        body: JSON.stringify(request),
        headersTimeout: 0,
        bodyTimeout: 0,
        signal,
      });
      if (response.statusCode !== STATUS_OK) {
        return err(
          HttpEngineDriver.#classifyStatus(response.statusCode, await response.body.text()),
        );
      }
      return ok(((await response.body.json()) as { readonly handle: string }).handle);
    } catch (error) {
      return err(classifyError(error));
    }
  }

  override async cancel(attemptId: string): Promise<void> {
    await this.#sendControlRequest('POST', `/v1/requests/${attemptId}/cancel`);
  }

  override async readLoad(): Promise<Result<LoadReport, AttemptFailure>> {
    const answer = await this.#sendControlRequest('GET', '/v1/load');
    return answer.map(({ body }) => ({
      ...(JSON.parse(body) as LoadReport),
      endpointId: this.#endpointId,
    }));
  }

  override async sendOrder(
    orderId: string,
    epoch: number,
    order: EngineOrder,
  ): Promise<Result<OrderStatus, AttemptFailure>> {
    const answer = await this.#sendControlRequest(
      'POST',
      '/v1/orders',
      JSON.stringify({ orderId, epoch, order }),
    );
    return answer.andThen(({ status, body }) => {
      if (status === STATUS_CONFLICT) {
        return ok<OrderStatus, AttemptFailure>('refused');
      }
      return status === STATUS_ACCEPTED
        ? ok<OrderStatus, AttemptFailure>('running')
        : err<OrderStatus, AttemptFailure>({ kind: 'invalid', detail: body });
    });
  }

  override async readOrder(orderId: string): Promise<Result<OrderStatus, AttemptFailure>> {
    const answer = await this.#sendControlRequest('GET', `/v1/orders/${orderId}`);
    return answer.map(({ status, body }) =>
      status === STATUS_NOT_FOUND
        ? 'unknown'
        : (JSON.parse(body) as { readonly status: OrderStatus }).status,
    );
  }

  override async close(): Promise<void> {
    await this.#pool.destroy();
  }

  static #classifyStatus(status: number, text: string): AttemptFailure {
    const isRejected = status === STATUS_TOO_MANY || status === STATUS_UNAVAILABLE;
    return { kind: isRejected ? 'rejected' : 'invalid', detail: `status ${status}: ${text}` };
  }

  /** Sends a short control request: anything but a generation or a prefill. */
  async #sendControlRequest(
    method: 'GET' | 'POST',
    path: string,
    body?: string,
  ): Promise<Result<{ readonly status: number; readonly body: string }, AttemptFailure>> {
    try {
      const response = await this.#pool.request({
        method,
        path,
        headers: JSON_HEADERS,
        body,
        headersTimeout: Math.min(CONTROL_TIMEOUT_MS, this.#progressTimeoutMs),
      });
      return ok({ status: response.statusCode, body: await response.body.text() });
    } catch (error) {
      return err(classifyError(error));
    }
  }
}
