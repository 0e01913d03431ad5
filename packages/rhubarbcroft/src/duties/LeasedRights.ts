/** The rights that follow from the lease of the duties. */
import type DutyLease from './DutyLease.js';
import type DutyRight from './DutyRight.js';
import DutyRights from './DutyRights.js';

export default class LeasedRights extends DutyRights {
  readonly #lease: DutyLease;

  readonly #holder: string;

  /** `holder` is the name of this node, as the platform knows it. */
  constructor(lease: DutyLease, holder: string) {
    super();
    this.#lease = lease;
    this.#holder = holder;
  }

  /** The first question for a subject adds it to the lease, so its right follows with the next renewal. */
  override findRight(subject: string): DutyRight | undefined {
    this.#lease.addSubject(subject);
    const fence = this.#lease.authority?.epochs[subject];
    return fence === undefined ? undefined : { holder: this.#holder, fence };
  }
}
