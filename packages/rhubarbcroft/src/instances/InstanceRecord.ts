/** What the store holds under an instance's id at one of its versions; undefined when it was removed or cannot be read. */
import type Instance from './Instance.js';

interface InstanceRecord {
  readonly id: string;
  readonly storeVersion: number;
  readonly instance: Instance | undefined;
}

export default InstanceRecord;
