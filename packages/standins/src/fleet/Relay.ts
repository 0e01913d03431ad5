/**
 * A TCP relay between two processes of a local fleet that injects network faults: it can cut and refuse
 * connections, delay data, or silently drop the data of open connections while new ones work.
 */
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

interface RelayedConnection {
  readonly upstream: Socket;
  readonly downstream: Socket;
}

export default class Relay {
  readonly #server: Server;

  readonly #targetPort: number;

  readonly #connections = new Set<RelayedConnection>();

  readonly #sockets = new Set<Socket>();

  readonly #silenced = new WeakSet<RelayedConnection>();

  #isRefusing = false;

  #delayMs = 0;

  private constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = createServer((downstream) => this.#accept(downstream));
  }

  static async start(targetPort: number): Promise<Relay> {
    const relay = new Relay(targetPort);
    relay.#server.listen(0, '127.0.0.1');
    await once(relay.#server, 'listening');
    return relay;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Number of open connections. */
  get openConnectionCount(): number {
    return this.#connections.size;
  }

  /** Closes every open connection and, until `restore`, each new one. */
  cut(): void {
    this.#isRefusing = true;
    this.#closeConnections();
  }

  /** Accepts new connections again, and forwards without delay. */
  restore(): void {
    this.#isRefusing = false;
    this.#delayMs = 0;
  }

  /** Delays each chunk of data, in both directions. */
  delay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** Drops all further data on the connections that are open now, without closing them. */
  silenceOpenConnections(): void {
    this.#connections.forEach((connection) => this.#silenced.add(connection));
  }

  async stop(): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }

  #closeConnections(): void {
    this.#connections.forEach(({ upstream, downstream }) => {
      upstream.destroy();
      downstream.destroy();
    });
  }

  #accept(downstream: Socket): void {
    if (this.#isRefusing) {
      downstream.destroy();
      return;
    }
    const upstream = connect({ host: '127.0.0.1', port: this.#targetPort });
    const connection: RelayedConnection = { upstream, downstream };
    this.#connections.add(connection);
    this.#forward(connection, downstream, upstream);
    this.#forward(connection, upstream, downstream);
  }

  #forward(connection: RelayedConnection, from: Socket, to: Socket): void {
    this.#sockets.add(from);
    // An error is followed by `close`, which is handled below.
    from.on('error', () => undefined);
    from.on('data', (bytes: Buffer) => {
      if (this.#silenced.has(connection)) {
        return;
      }
      if (this.#delayMs > 0) {
        setTimeout(() => to.write(bytes), this.#delayMs);
      } else {
        to.write(bytes);
      }
    });
    from.on('close', () => {
      if (!this.#silenced.has(connection)) {
        to.destroy();
      }
      this.#connections.delete(connection);
      this.#sockets.delete(from);
    });
  }
}
