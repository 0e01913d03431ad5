/** The value of an engine's intent row: the last order that was, or is about to be, sent to the engine. */
import type EngineOrder from '../endpoints/EngineOrder.js';

interface Intent {
  readonly orderId: string;
  /** The epoch of the lease under which the order is sent; its fencing token. */
  readonly epoch: number;
  /** The process that may send the order, as `nodeId/incarnation`. */
  readonly issuer: string;
  readonly order: EngineOrder;
  readonly state: 'open' | 'closed';
  /** Set when the intent is closed; `unsent` means that the lease was lost before the order was sent. */
  readonly outcome?: 'done' | 'failed' | 'refused' | 'unsent';
}

export default Intent;
