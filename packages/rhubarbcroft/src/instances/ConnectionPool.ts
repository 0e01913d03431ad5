/** The idle connections to one instance. Work that may not be repeated always gets a new one. */
import EndpointConnection from './EndpointConnection.js';

/** Idle connections kept to an instance: a share of the endpoint's limit that even a hundred nodes stay within. */
const MAX_IDLE = 3;

export default class ConnectionPool {
  readonly #address: string;

  readonly #connectTimeoutMs: number;

  #idle: readonly EndpointConnection[] = [];

  #isClosed = false;

  constructor(address: string, connectTimeoutMs: number) {
    this.#address = address;
    this.#connectTimeoutMs = connectTimeoutMs;
  }

  take(mayReuse: boolean): EndpointConnection {
    this.#idle = this.#idle.filter((connection) => connection.isOpen);
    const reused = mayReuse ? this.#idle.at(-1) : undefined;
    if (reused === undefined) {
      return new EndpointConnection(this.#address, this.#connectTimeoutMs);
    }
    this.#idle = this.#idle.slice(0, -1);
    return reused;
  }

  /** Takes back a connection on which an answer has come whole. */
  give(connection: EndpointConnection): void {
    if (this.#isClosed || !connection.isOpen || this.#idle.length >= MAX_IDLE) {
      connection.close();
      return;
    }
    this.#idle = [...this.#idle, connection];
  }

  close(): void {
    this.#isClosed = true;
    this.clear();
  }

  /** Drops the idle connections. */
  clear(): void {
    this.#idle.forEach((connection) => connection.close());
    this.#idle = [];
  }
}
