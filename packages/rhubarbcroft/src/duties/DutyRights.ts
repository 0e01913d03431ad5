/** Knows for which subjects of duties this node may act at this moment. */
import type DutyRight from './DutyRight.js';

abstract class DutyRights {
  /**
   * The right to act for a subject; undefined unless this node holds the subject's lease and no other node can have
   * taken it over. Read it after the last await before a call is sent, since a process may have been frozen meanwhile.
   */
  abstract findRight(subject: string): DutyRight | undefined;
}

export default DutyRights;
