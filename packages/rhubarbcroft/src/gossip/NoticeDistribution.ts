/** Distributes this node's notices to the other nodes. */
import type WireNotices from './WireNotices.js';

abstract class NoticeDistribution {
  /** Sends a batch of this node's own notices. */
  abstract distribute(notices: WireNotices): void;

  /** Sends again, to one of the receivers in turn, what none of them must miss. */
  abstract repeat(notices: WireNotices): void;
}

export default NoticeDistribution;
