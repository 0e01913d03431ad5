/** Serves `GET /healthz` for the load balancer: 200 while the node accepts requests, 503 while it shuts down. */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type HttpExchange from './HttpExchange.js';
import HttpHandler from './HttpHandler.js';
import sendJson from './sendJson.js';

export default class HealthHandler extends HttpHandler {
  readonly #shutdown: AbortSignal;

  constructor(shutdown: AbortSignal) {
    super();
    this.#shutdown = shutdown;
  }

  override async handle({ response }: HttpExchange): Promise<Result<void, Failure>> {
    if (this.#shutdown.aborted) {
      return err(createFailure('SHUTTING_DOWN', 'the entry VM accepts no new requests'));
    }
    sendJson(response, 200, { status: 'ready' });
    return ok(undefined);
  }
}
