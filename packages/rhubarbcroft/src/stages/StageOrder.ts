/** An order to an engine to change its stage. */
import type StageRight from './StageRight.js';

interface StageOrder {
  readonly right: StageRight;
  readonly stage: 'prefill' | 'decode';
  /** How many orders the engine has accepted before this one; any other number makes it decline. */
  readonly acceptedOrders: number;
}

export default StageOrder;
