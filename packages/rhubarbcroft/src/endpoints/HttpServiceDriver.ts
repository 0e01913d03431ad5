/** HTTP driver of a plain service. Answers are buffered up to a size limit. */
import { Client, Pool } from 'undici';
import type { Dispatcher } from 'undici';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type LoadReport from '@rhubarbcroft/protocol/fleet/LoadReport';
import type AttemptFailure from './AttemptFailure.js';
import type ServiceAnswer from './ServiceAnswer.js';
import type ServiceCall from './ServiceCall.js';
import ServiceDriver from './ServiceDriver.js';
import classifyError from './classifyError.js';

interface ServiceDriverOptions {
  readonly connectTimeoutMs: number;
  /** A larger answer fails the attempt as `broken`. */
  readonly maxAnswerBytes: number;
}

const CONTROL_TIMEOUT_MS = 1_000;
const STATUS_UNAVAILABLE = 503;
/** Set by a service on a 503 answer to a request that it did not start. */
const NOT_STARTED_HEADER = 'rhubarb-not-started';

export default class HttpServiceDriver extends ServiceDriver {
  readonly #endpointId: string;

  readonly #url: string;

  readonly #options: ServiceDriverOptions;

  readonly #pool: Pool;

  constructor(endpointId: string, url: string, options: ServiceDriverOptions) {
    super();
    this.#endpointId = endpointId;
    this.#url = url;
    this.#options = options;
    this.#pool = new Pool(url, {
      connect: { timeout: options.connectTimeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  override async call(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, AttemptFailure>> {
    if (call.repeatable) {
      return this.#send(this.#pool, call, signal);
    }
    const client = new Client(this.#url, {
      connect: { timeout: this.#options.connectTimeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const answer = await this.#send(client, call, signal);
    await client.destroy();
    return answer;
  }

  override async readLoad(): Promise<Result<LoadReport, AttemptFailure>> {
    try {
      const response = await this.#pool.request({
        method: 'GET',
        path: '/load',
        headersTimeout: CONTROL_TIMEOUT_MS,
        bodyTimeout: CONTROL_TIMEOUT_MS,
      });
      const report = (await response.body.json()) as LoadReport;
      return ok({ ...report, endpointId: this.#endpointId });
    } catch (error) {
      return err(classifyError(error));
    }
  }

  override async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #send(
    dispatcher: Dispatcher,
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, AttemptFailure>> {
    try {
      const response = await dispatcher.request({
        method: call.method,
        path: call.path,
        headers: { ...call.headers, 'x-request-id': call.requestId },
        body: call.body.length === 0 ? null : call.body,
        signal,
      });
      if (
        response.statusCode === STATUS_UNAVAILABLE &&
        response.headers[NOT_STARTED_HEADER] !== undefined
      ) {
        await response.body.dump();
        return err({
          kind: 'rejected',
          detail: 'the service answered 503 and reported that it did not start the request',
        });
      }
      return await this.#readAnswer(response);
    } catch (error) {
      return err(classifyError(error));
    }
  }

  async #readAnswer(
    response: Dispatcher.ResponseData,
  ): Promise<Result<ServiceAnswer, AttemptFailure>> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of response.body) {
      chunks.push(chunk as Buffer);
      bytes += (chunk as Buffer).length;
      if (bytes > this.#options.maxAnswerBytes) {
        response.body.destroy();
        return err({
          kind: 'broken',
          detail: `the service's answer exceeds the limit of ${this.#options.maxAnswerBytes} bytes`,
        });
      }
    }
    const contentType = String(response.headers['content-type'] ?? 'application/octet-stream');
    return ok({ status: response.statusCode, contentType, body: Buffer.concat(chunks) });
  }
}
