/** What answers the HTTP requests that a listener reads. */
import type Exchange from './Exchange.js';

abstract class ExchangeServer {
  /** Answers one request; it never rejects. */
  abstract serve(exchange: Exchange): Promise<void>;
}

export default ExchangeServer;
