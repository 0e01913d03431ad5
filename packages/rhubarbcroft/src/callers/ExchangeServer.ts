/** Answers the HTTP requests that a listener receives. */
import type Exchange from './Exchange.js';

abstract class ExchangeServer {
  /** Answers one request. The promise never rejects. */
  abstract serve(exchange: Exchange): Promise<void>;
}

export default ExchangeServer;
