/** An order that changes the stage of an engine. */
import type StageRight from './StageRight.js';

interface StageOrder {
  readonly right: StageRight;
  readonly stage: 'prefill' | 'decode';
  /** The expected number of orders that the engine accepted before; it declines the order if the number differs. */
  readonly acceptedOrders: number;
}

export default StageOrder;
