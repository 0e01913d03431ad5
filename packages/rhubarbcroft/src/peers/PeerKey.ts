/**
 * The key that the entry VMs share. A peer proves that it has the key by an HMAC over a nonce of the other side
 * and its own node id; the previous key is accepted too, so that the key can be rotated one VM at a time.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';

interface PeerKeys {
  /** Signs the proofs of this node. */
  readonly key: string;
  /** Accepted from peers besides `key`; empty when there is none. */
  readonly previousKey: string;
}

export default class PeerKey {
  readonly #acceptedKeys: readonly string[];

  constructor({ key, previousKey }: PeerKeys) {
    this.#acceptedKeys = previousKey === '' ? [key] : [key, previousKey];
  }

  createProof(nonce: string, nodeId: string): string {
    return PeerKey.#sign(this.#acceptedKeys[0], nonce, nodeId);
  }

  verifyProof(proof: string, nonce: string, nodeId: string): boolean {
    return this.#acceptedKeys.some((key) => {
      const expected = Buffer.from(PeerKey.#sign(key, nonce, nodeId));
      const received = Buffer.from(proof);
      return received.length === expected.length && timingSafeEqual(received, expected);
    });
  }

  static #sign(key: string, nonce: string, nodeId: string): string {
    return createHmac('sha256', key).update(`${nonce}\n${nodeId}`).digest('hex');
  }
}
