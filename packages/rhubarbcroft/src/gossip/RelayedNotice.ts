/** Notices on their way through a relay. */
import type { Socket } from 'node:net';
import type WireNotices from './WireNotices.js';

interface RelayedNotice {
  /** The connection on which they came, to which they are not sent back; undefined for the node's own. */
  readonly source: Socket | undefined;
  readonly notices: WireNotices;
}

export default RelayedNotice;
