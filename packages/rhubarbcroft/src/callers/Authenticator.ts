/**
 * Finds who holds a caller's key. Keys are looked up by their SHA-256 hash, so that neither the documents that list them
 * nor the duration of a comparison reveals anything about a key.
 */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import hashKey from './hashKey.js';

abstract class Authenticator<Identity> {
  /** Reads the key from what the caller sent; undefined when it contains none. */
  protected abstract readKey(credential: string): string | undefined;

  /** Finds the holder of the key with this hash. */
  protected abstract findByHash(hash: string): Identity | undefined;

  /** Fails with `UNAUTHENTICATED` if the key is missing or unknown. */
  authenticate(credential: string | undefined): Result<Identity, Failure> {
    const key = credential === undefined ? undefined : this.readKey(credential);
    if (key === undefined) {
      return err(createFailure('UNAUTHENTICATED', 'no key or bearer token was sent'));
    }
    const identity = this.findByHash(hashKey(key));
    return identity === undefined
      ? err(createFailure('UNAUTHENTICATED', 'no account has this key or token'))
      : ok(identity);
  }
}

export default Authenticator;
