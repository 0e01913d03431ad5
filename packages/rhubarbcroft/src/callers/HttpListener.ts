/**
 * Accepts HTTP connections, over TLS if a certificate is configured, and starts a task for each connection
 * under its supervisor.
 */
import { Server as PlainServer } from 'node:http';
import { Server as TlsServer } from 'node:https';
import { once } from 'node:events';
import { Server as NetServer } from 'node:net';
import type { Socket } from 'node:net';
import type Logger from 'bunyan';
import type Clock from '../supervision/Clock.js';
import type Supervisor from '../supervision/Supervisor.js';
import Task from '../supervision/Task.js';
import type CertificateWatcher from '../tls/CertificateWatcher.js';
import waitForAbort from '../supervision/waitForAbort.js';
import waitForEventLoop from '../supervision/waitForEventLoop.js';
import type Metrics from '../telemetry/Metrics.js';
import ConnectionEndRecorder from './ConnectionEndRecorder.js';
import ConnectionRoom from './ConnectionRoom.js';
import type ConnectionTimeouts from './ConnectionTimeouts.js';
import type HttpExchangeServer from './HttpExchangeServer.js';
import HttpConnection from './HttpConnection.js';
import type IntakeAccount from './IntakeAccount.js';
import classifyClientError from './classifyClientError.js';

interface HttpListenerOptions {
  readonly name: string;
  readonly address: string;
  readonly maxHeaderBytes: number;
  readonly maxConnections: number;
  /** How long the listener still accepts connections after its stop was requested. */
  readonly lameDuckMs: number;
  readonly frontEnd: HttpExchangeServer;
  readonly supervisor: Supervisor;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Shared by all listeners of the process. */
  readonly intake: IntakeAccount;
  /** The current time limits for a request's headers and for idle connections; the defaults apply without it. */
  readonly readTimeouts?: () => ConnectionTimeouts | undefined;
  /** The certificate for TLS; plain HTTP without it. */
  readonly certificates: CertificateWatcher | undefined;
}

const DEFAULT_TIMEOUTS = { headerTimeoutMs: 10_000, idleTimeoutMs: 60_000 };
/** The interval of the check for slow request headers, a fraction of their time limit. */
const CHECK_PERIOD_MS = 1_000;
/** The number of connections waiting to be accepted: all callers of a fleet may connect at the same time. */
const BACKLOG = 4_096;
/** Callers that connect without a pause must not delay a stop for longer. */
const MAX_ACCEPT_MS = 500;

export default class HttpListener extends Task {
  override readonly name: string;

  readonly #options: HttpListenerOptions;

  #acceptedCount = 0;

  constructor(options: HttpListenerOptions) {
    super();
    this.name = options.name;
    this.#options = options;
  }

  override async run(signal: AbortSignal): Promise<void> {
    const { clock, lameDuckMs } = this.#options;
    const server = await this.#createServer(signal);
    if (server === undefined) {
      return;
    }
    server.maxConnections = this.#options.maxConnections;
    await this.#listen(server);
    await waitForAbort(signal);
    await clock.sleep(lameDuckMs);
    await this.#acceptPending();
    // The close of the HTTP server would also close idle connections, before it has read what they received.
    NetServer.prototype.close.call(server);
  }

  /** Returns undefined if the listener is stopped before a certificate is available. */
  async #createServer(signal: AbortSignal): Promise<PlainServer | TlsServer | undefined> {
    const { maxHeaderBytes, certificates } = this.#options;
    const limits = {
      maxHeaderSize: maxHeaderBytes,
      requestTimeout: 0,
      connectionsCheckingInterval: CHECK_PERIOD_MS,
    };
    if (certificates === undefined) {
      const server = new PlainServer(limits);
      this.#accept(server, 'connection');
      return server;
    }
    const certificate = await certificates.load(signal);
    if (certificate === undefined) {
      return undefined;
    }
    const server = new TlsServer({
      ...limits,
      ...certificate,
      minVersion: 'TLSv1.2',
      handshakeTimeout: DEFAULT_TIMEOUTS.headerTimeoutMs,
    });
    certificates.onChange((renewed) => server.setSecureContext(renewed));
    server.on('tlsClientError', (_error, socket) => socket.destroy());
    this.#accept(server, 'secureConnection');
    return server;
  }

  #accept(server: PlainServer | TlsServer, connected: 'connection' | 'secureConnection'): void {
    const { name, frontEnd, supervisor, clock, log, metrics, maxConnections, intake } =
      this.#options;
    const ends = new ConnectionEndRecorder({ listener: name, log, metrics, clock });
    const readTimeouts = (): ConnectionTimeouts =>
      this.#options.readTimeouts?.() ?? DEFAULT_TIMEOUTS;
    // The server reads these whenever it writes `Keep-Alive`, arms a timer or checks heads.
    Object.defineProperties(server, {
      headersTimeout: { get: () => readTimeouts().headerTimeoutMs },
      keepAliveTimeout: { get: () => readTimeouts().idleTimeoutMs },
    });
    // Keeps the server's own timer from closing idle connections, which HttpConnection does.
    server.on('timeout', () => undefined);
    const connections = new WeakMap<Socket, HttpConnection>();
    const room = new ConnectionRoom(maxConnections, clock);
    server.on(connected, (socket: Socket) => {
      this.#acceptedCount += 1;
      socket.setNoDelay(true);
      const connection = new HttpConnection(socket, {
        server: frontEnd,
        clock,
        ends,
        intake,
        readTimeouts,
      });
      connections.set(socket, connection);
      room.add(connection);
      socket.once('close', () => room.remove(connection));
      if (!supervisor.spawn(connection)) {
        connection.noteEnd('stop', 'the supervisor starts no more tasks');
        socket.destroy();
      }
    });
    server.on('request', (request, response) =>
      connections.get(request.socket)?.accept(request, response),
    );
    server.on('clientError', (error, socket) => {
      const rejection = classifyClientError(error);
      connections.get(socket as Socket)?.reject(rejection);
    });
    server.on('drop', () => {
      ends.recordRefused(maxConnections);
      room.make();
    });
  }

  /** Accepts what waits in the backlog, since closing the listening socket would reset those connections. */
  async #acceptPending(): Promise<void> {
    const untilMs = this.#options.clock.nowMs() + MAX_ACCEPT_MS;
    let countBefore;
    // A turn of the event loop accepts one connection at most.
    do {
      countBefore = this.#acceptedCount;
      await waitForEventLoop();
    } while (this.#acceptedCount > countBefore && this.#options.clock.nowMs() < untilMs);
  }

  async #listen(server: PlainServer | TlsServer): Promise<void> {
    const [host, port] = this.#options.address.split(':');
    server.listen({ port: Number(port), host, backlog: BACKLOG });
    await once(server, 'listening');
  }
}
