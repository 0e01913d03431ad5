/**
 * Routes HTTP requests to their handlers, and turns a failure that a handler returns or an error that it throws
 * into an error response.
 */
import Router from 'find-my-way';
import type Logger from 'bunyan';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type Metrics from '../telemetry/Metrics.js';
import type HttpExchange from './HttpExchange.js';
import HttpExchangeServer from './HttpExchangeServer.js';
import type HttpHandler from './HttpHandler.js';
import sendFailure from './sendFailure.js';

interface Route {
  readonly methods: readonly Router.HTTPMethod[];
  readonly path: string;
  readonly handler: HttpHandler;
}

export default class HttpFrontEnd extends HttpExchangeServer {
  readonly #router = Router();

  readonly #log: Logger;

  readonly #metrics: Metrics;

  constructor(routes: readonly Route[], log: Logger, metrics: Metrics) {
    super();
    this.#log = log;
    this.#metrics = metrics;
    for (const { methods, path, handler } of routes) {
      this.#router.on([...methods], path, () => undefined, handler);
    }
  }

  override async serve(exchange: HttpExchange): Promise<void> {
    const { request, response, requestId } = exchange;
    response.setHeader('x-request-id', requestId);
    const match = this.#router.find(request.method as Router.HTTPMethod, request.url ?? '/');
    if (match === null) {
      this.#refuse(exchange, createFailure('NOT_FOUND', `${request.method} ${request.url}`));
      return;
    }
    try {
      const result = await (match.store as HttpHandler).handle(exchange, match.params);
      if (result.isErr) {
        this.#refuse(exchange, result.error);
      }
      this.#log.debug(
        { requestId, method: request.method, url: request.url, status: response.statusCode },
        'request handled',
      );
    } catch (error) {
      this.#log.error({ requestId, err: error }, 'request failed with an internal error');
      this.#refuse(
        exchange,
        createFailure('INTERNAL', `unexpected error in request ${requestId}`, 'unknown'),
      );
    }
  }

  /**
   * Sends a failure. If the body was not read to its end, the connection closes after the response, and the
   * rest of the body is discarded.
   */
  #refuse({ response, request, requestId }: HttpExchange, failure: Failure): void {
    this.#metrics.increment('refused', { code: failure.code });
    this.#log.info(
      { requestId, refusal: describeFailure(failure), ran: failure.ran },
      'request refused',
    );
    if (!request.complete) {
      response.setHeader('connection', 'close');
    }
    sendFailure(response, failure);
    if (!request.complete) {
      request.resume();
    }
  }
}
