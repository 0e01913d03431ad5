/** Answers the HTTP requests that a listener receives. */
import type HttpExchange from './HttpExchange.js';

abstract class HttpExchangeServer {
  /** Answers one request. The promise never rejects. */
  abstract serve(exchange: HttpExchange): Promise<void>;
}

export default HttpExchangeServer;
