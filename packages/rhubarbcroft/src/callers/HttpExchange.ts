/** An HTTP request of a caller and its response. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type Holding from './Holding.js';
import type IncomingBody from './IncomingBody.js';

interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly body: IncomingBody;
  readonly holding: Holding;
  /** Aborts when the connection closes before the response is complete. */
  readonly signal: AbortSignal;
  /** Notes that the complete request was accepted for forwarding, for the log line of an early end. */
  readonly markForwarded: () => void;
  /**
   * Announces with this answer that the connection closes, unless a further request is queued on it: that one has to be
   * answered first.
   */
  readonly announceClose: () => void;
  /** Destroys the connection of a response that cannot be finished; the cause appears in the log line. */
  readonly cut: (cause: string) => void;
}

export default HttpExchange;
