/** An HTTP request of a caller and its response. */
import type { IncomingMessage, ServerResponse } from 'node:http';

interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  /** Aborts when the connection closes before the response is complete. */
  readonly signal: AbortSignal;
}

export default HttpExchange;
