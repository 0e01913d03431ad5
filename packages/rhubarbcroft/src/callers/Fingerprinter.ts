/** Computes keyed hashes that identify a request, or a prefix of a prompt, without revealing its content. */
import { createHmac } from 'node:crypto';

/** The length of a hash, in base64url characters. */
const HASH_LENGTH = 24;

export default class Fingerprinter {
  readonly #key: string;

  constructor(key: string) {
    this.#key = key;
  }

  /** Hashes the parts in order. */
  compute(...parts: readonly (string | Uint8Array)[]): string {
    const hmac = createHmac('sha256', this.#key);
    parts.forEach((part) => hmac.update(part).update('\n'));
    return hmac.digest('base64url').slice(0, HASH_LENGTH);
  }

  /** Returns one key for each complete block of the prompt; each key covers the prompt up to the end of its block. */
  computePrefixKeys(model: string, prompt: string, blockChars: number): readonly string[] {
    const keys: string[] = [];
    for (let end = blockChars; end <= prompt.length; end += blockChars) {
      keys.push(this.compute(keys.at(-1) ?? model, prompt.slice(end - blockChars, end)));
    }
    return keys;
  }
}
