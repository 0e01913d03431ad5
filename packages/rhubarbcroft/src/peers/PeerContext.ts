/** What all peer tasks share: the identity of this node, the key, the limits and the message handler. */
import type Logger from 'bunyan';
import type NodeDirectory from '../membership/NodeDirectory.js';
import type Clock from '../supervision/Clock.js';
import type Metrics from '../telemetry/Metrics.js';
import type PeerHandler from './PeerHandler.js';
import type PeerTraffic from './PeerTraffic.js';
import type PeerKey from './PeerKey.js';

interface PeerContext {
  readonly directory: NodeDirectory;
  readonly key: PeerKey;
  readonly handler: PeerHandler;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly traffic: PeerTraffic;
  readonly heartbeatMs: number;
  readonly maxFrameBytes: number;
  /** Resolves once this process has bound its peer address, which shows that no other process of this VM runs. */
  readonly bound: Promise<void>;
  /** Called when the peer address is bound; resolves `bound`. */
  readonly onBound: () => void;
}

export default PeerContext;
