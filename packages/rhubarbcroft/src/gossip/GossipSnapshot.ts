/**
 * The state that a node sends on request to a peer that does not receive the store's changes: the newest routing
 * document, the instances and the node addresses.
 */
import type FeedPage from '../discovery/FeedPage.js';
import type Instance from '../instances/Instance.js';
import type RoutingDocument from '../routes/RoutingDocument.js';
import type WireEvidence from './WireEvidence.js';

interface GossipSnapshot {
  /** Undefined when the requester has this version or a newer one; the same holds for the instances. */
  readonly routing: RoutingDocument | undefined;
  readonly instances: FeedPage<Instance> | undefined;
  /** Whether the sender receives the store's changes, so that instances missing here have been removed. */
  readonly isCurrent: boolean;
  /** The addresses at which nodes accept peers, as `host:port`, the sender included. */
  readonly nodes: readonly string[];
  /** Absent in snapshots of nodes that run an older version. */
  readonly evidence?: WireEvidence | undefined;
}

export default GossipSnapshot;
