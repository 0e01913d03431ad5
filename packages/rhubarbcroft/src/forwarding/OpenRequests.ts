/** The open requests of the node. At the end of a planned stop those without an answer get one. */
import type Logger from 'bunyan';
import type Clock from '../supervision/Clock.js';
import type OpenRequest from './OpenRequest.js';

const MAX_LOGGED_REQUESTS = 256;

export default class OpenRequests {
  readonly #clock: Clock;

  readonly #log: Logger;

  readonly #requests = new Set<OpenRequest>();

  constructor(clock: Clock, log: Logger) {
    this.#clock = clock;
    this.#log = log;
  }

  /** Adds a request until the returned function is called. */
  add(request: OpenRequest): () => void {
    this.#requests.add(request);
    return () => this.#requests.delete(request);
  }

  endAll(reason: string): void {
    this.logAll(reason);
    [...this.#requests].forEach((request) => request.end(reason));
  }

  /** Writes a line for each open request. */
  logAll(reason: string): void {
    const nowMs = this.#clock.nowMs();
    [...this.#requests].slice(0, MAX_LOGGED_REQUESTS).forEach(({ id, arrivedAtMs, describe }) => {
      const ageMs = Math.round(nowMs - arrivedAtMs);
      this.#log.warn({ requestId: id, ageMs, ...describe() }, `request still open: ${reason}`);
    });
  }
}
