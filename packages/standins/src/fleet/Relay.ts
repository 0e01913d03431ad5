/**
 * A TCP relay between two processes of a local fleet that injects network faults: it can cut and refuse
 * connections, delay data, or silently drop the data of open connections while new ones work. It passes on
 * whether a connection was closed or reset, since an answer may end with its connection.
 */
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

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

  readonly #host: string;

  #port = 0;

  private constructor(targetPort: number, host: string) {
    this.#targetPort = targetPort;
    this.#host = host;
    this.#server = createServer((downstream) => this.#accept(downstream));
  }

  static async start(targetPort: number, host = '127.0.0.1'): Promise<Relay> {
    const relay = new Relay(targetPort, host);
    relay.#server.listen(0, host);
    await once(relay.#server, 'listening');
    relay.#port = (relay.#server.address() as AddressInfo).port;
    return relay;
  }

  get port(): number {
    return this.#port;
  }

  /** Number of open connections. */
  get openConnectionCount(): number {
    return this.#connections.size;
  }

  /** Resets every open connection and, until `restore`, each new one. */
  cut(): void {
    this.#isRefusing = true;
    this.#resetConnections();
  }

  /** Resets every open connection; until `restore`, the port refuses new ones, as after the process has ended. */
  refuse(): void {
    this.#server.close();
    this.#resetConnections();
  }

  /** Accepts new connections again, and forwards without delay. */
  restore(): void {
    this.#isRefusing = false;
    this.#delayMs = 0;
    if (!this.#server.listening) {
      this.#server.listen(this.#port, this.#host);
    }
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

  #resetConnections(): void {
    this.#connections.forEach(({ upstream, downstream }) => {
      upstream.resetAndDestroy();
      downstream.resetAndDestroy();
    });
  }

  #accept(downstream: Socket): void {
    if (this.#isRefusing) {
      downstream.resetAndDestroy();
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
    let delivered: Promise<unknown> = Promise.resolve();
    // Delayed data is neither overtaken by later data nor lost when the connection is closed.
    const deliver = (action: () => void): void => {
      const due = this.#delayMs > 0 ? sleep(this.#delayMs) : undefined;
      delivered = Promise.all([delivered, due]).then(action);
    };
    // An error is followed by `close`, which is handled below.
    from.on('error', () => undefined);
    from.on('data', (bytes: Buffer) => {
      if (!this.#silenced.has(connection)) {
        deliver(() => to.write(bytes));
      }
    });
    // Data and a reset that are read together end the stream without an error; the peer's address is gone then.
    let wasReset = false;
    from.on('end', () => {
      wasReset = from.remoteAddress === undefined;
    });
    from.on('close', (hadError: boolean) => {
      if (!this.#silenced.has(connection)) {
        deliver(() => (hadError || wasReset ? to.resetAndDestroy() : to.destroySoon()));
      }
      this.#connections.delete(connection);
      this.#sockets.delete(from);
    });
  }
}
