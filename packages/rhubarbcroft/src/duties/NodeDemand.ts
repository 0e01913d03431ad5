/** What one node last told of the demand that it sees. */
import type ServiceDemand from './ServiceDemand.js';

interface NodeDemand {
  /** The node's address for peers. */
  readonly node: string;
  readonly domain: string;
  /** When this node received it, on its monotonic clock. */
  readonly receivedAtMs: number;
  readonly services: readonly ServiceDemand[];
}

export default NodeDemand;
