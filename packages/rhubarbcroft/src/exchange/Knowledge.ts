/** What nodes tell one another when the store does not: the newest routing document, instances and nodes. */
import type FeedPage from '../discovery/FeedPage.js';
import type Instance from '../instances/Instance.js';
import type RoutingDocument from '../routes/RoutingDocument.js';

interface Knowledge {
  readonly routing: RoutingDocument | undefined;
  readonly instances: FeedPage<Instance> | undefined;
  /** Whether the teller hears from the store, so that what it misses is gone. */
  readonly isCurrent: boolean;
  /** Peer addresses of nodes. */
  readonly nodes: readonly string[];
}

export default Knowledge;
