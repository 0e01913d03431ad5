/** The idle HTTP connections to one instance. A request that must not run twice always gets a new connection. */
import EndpointConnection from './EndpointConnection.js';

/** Small enough that the idle connections of a hundred nodes stay within the connection limit of an endpoint. */
const MAX_IDLE_CONNECTIONS = 3;

export default class ConnectionPool {
  readonly #address: string;

  readonly #connectTimeoutMs: number;

  #idle: readonly EndpointConnection[] = [];

  #isClosed = false;

  constructor(address: string, connectTimeoutMs: number) {
    this.#address = address;
    this.#connectTimeoutMs = connectTimeoutMs;
  }

  /** Returns an idle connection if one may be reused, or a new one, which connects on its first request. */
  acquire(mayReuse: boolean): EndpointConnection {
    this.#idle = this.#idle.filter((connection) => connection.isOpen);
    const reused = mayReuse ? this.#idle.at(-1) : undefined;
    if (reused === undefined) {
      return new EndpointConnection(this.#address, this.#connectTimeoutMs);
    }
    this.#idle = this.#idle.slice(0, -1);
    return reused;
  }

  /** Returns a connection to the pool, once the answer on it has been read to its end. */
  release(connection: EndpointConnection): void {
    if (this.#isClosed || !connection.isOpen || this.#idle.length >= MAX_IDLE_CONNECTIONS) {
      connection.close();
      return;
    }
    this.#idle = [...this.#idle, connection];
  }

  /** Closes the idle connections, and from now on every connection that is returned. */
  close(): void {
    this.#isClosed = true;
    this.closeIdle();
  }

  /** Closes the idle connections. */
  closeIdle(): void {
    this.#idle.forEach((connection) => connection.close());
    this.#idle = [];
  }
}
