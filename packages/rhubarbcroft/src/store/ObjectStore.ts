/** The platform's object store; each object is written and read as a whole. */
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';

abstract class ObjectStore {
  abstract put(key: string, value: Uint8Array): Promise<Result<void, Failure>>;

  /** Returns undefined when there is no object with the key. */
  abstract get(key: string): Promise<Result<Uint8Array | undefined, Failure>>;
}

export default ObjectStore;
