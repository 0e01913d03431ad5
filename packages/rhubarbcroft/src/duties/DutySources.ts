/** The platform's services that the duties use. */
import type DutyCalls from './DutyCalls.js';
import type DutyStore from './DutyStore.js';

interface DutySources {
  readonly store: DutyStore;
  readonly calls: DutyCalls;
  /** Time after its start within which a call has left this machine or never will. */
  readonly maxCallMs: number;
}

export default DutySources;
