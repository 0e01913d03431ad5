/** The status of an order as reported by the engine. `unknown`: the engine does not know it, or its answer was lost. */
type OrderStatus = 'unknown' | 'running' | 'done' | 'failed' | 'refused';

export default OrderStatus;
