/** Baseline admission: always the most urgent rank first; first come, first served within a rank. */
import type Work from 'rhubarbcroft/decisions/Work';
import RANKS from '@rhubarbcroft/protocol/ranks/RANKS';
import FifoAdmission from './FifoAdmission.js';

export default class StrictPriorityAdmission extends FifoAdmission {
  protected override findNext(): Work | undefined {
    for (const rank of RANKS) {
      for (const work of this.queue.values()) {
        if (work.rank === rank) {
          return work;
        }
      }
    }
    return undefined;
  }
}
