/** The platform's object store: whole values under a key. */
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';

abstract class ObjectStore {
  abstract put(key: string, value: Uint8Array): Promise<Result<void, Failure>>;

  abstract get(key: string): Promise<Result<Uint8Array | undefined, Failure>>;
}

export default ObjectStore;
