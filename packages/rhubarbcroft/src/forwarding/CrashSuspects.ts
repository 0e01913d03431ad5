/**
 * What an endpoint may crash on in one request: the prompt parts that it shares with others, and the request itself. The
 * key of the request is computed only when crashes are known or suspected, since most requests never need it.
 */
import type ForwardRequest from './ForwardRequest.js';
import createRequestKey from './createRequestKey.js';

export default class CrashSuspects {
  /** The ids of the shared prompt parts, in order. */
  readonly parts: readonly string[];

  readonly #request: ForwardRequest;

  #requestKey: string | undefined;

  constructor(request: ForwardRequest) {
    this.#request = request;
    this.parts = request.prompt?.parts.slice(0, -1).map(({ id }) => id) ?? [];
  }

  get requestKey(): string {
    this.#requestKey ??= createRequestKey(this.#request);
    return this.#requestKey;
  }

  /** The shared parts, then the key of the request. */
  get all(): readonly string[] {
    return [...this.parts, this.requestKey];
  }
}
