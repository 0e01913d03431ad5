/** Handles the requests of one route. A failure that it returns is sent to the caller as an error response. */
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type HttpExchange from './HttpExchange.js';

abstract class HttpHandler {
  abstract handle(
    exchange: HttpExchange,
    params: Readonly<Record<string, string | undefined>>,
  ): Promise<Result<void, Failure>>;
}

export default HttpHandler;
