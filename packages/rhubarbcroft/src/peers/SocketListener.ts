/** Listens for TCP connections and starts a task for each one under a supervisor; closes those that it rejects. */
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { once } from 'node:events';
import Task from '../supervision/Task.js';
import type Supervisor from '../supervision/Supervisor.js';
import waitForAbort from '../supervision/waitForAbort.js';

interface SocketListenerOptions {
  readonly name: string;
  /** The address to listen on, as `host:port`. */
  readonly address: string;
  readonly maxConnections: number;
  readonly supervisor: Supervisor;
  readonly createTask: (socket: Socket) => Task;
  /** Called once the address is bound. */
  readonly onBound?: () => void;
}

export default class SocketListener extends Task {
  override readonly name: string;

  readonly #options: SocketListenerOptions;

  constructor(options: SocketListenerOptions) {
    super();
    this.name = options.name;
    this.#options = options;
  }

  override async run(signal: AbortSignal): Promise<void> {
    const { supervisor, createTask, maxConnections, onBound: notifyBound } = this.#options;
    const server = createServer((socket) => {
      if (!supervisor.spawn(createTask(socket))) {
        socket.destroy();
      }
    });
    server.maxConnections = maxConnections;
    await this.#listen(server);
    notifyBound?.();
    await waitForAbort(signal);
    server.close();
  }

  async #listen(server: Server): Promise<void> {
    const [host, port] = this.#options.address.split(':');
    server.listen(Number(port), host);
    await once(server, 'listening');
  }
}
