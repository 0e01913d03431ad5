/** Accepts the connections of peers and starts a task for each under the peers' supervisor. */
import { createServer } from 'node:net';
import { once } from 'node:events';
import type Logger from 'bunyan';
import type Supervisor from '../supervision/Supervisor.js';
import Task from '../supervision/Task.js';
import waitForAbort from '../supervision/waitForAbort.js';
import KnowledgeConnection from './KnowledgeConnection.js';
import type KnowledgeBase from './KnowledgeBase.js';

/** As many as ask at once when a whole fleet of the size to design for starts in an outage. */
const MAX_CONNECTIONS = 340;

export default class KnowledgeListener extends Task {
  override readonly name = 'knowledge-listener';

  readonly #address: string;

  readonly #base: KnowledgeBase;

  readonly #supervisor: Supervisor;

  readonly #log: Logger;

  constructor(address: string, base: KnowledgeBase, supervisor: Supervisor, log: Logger) {
    super();
    this.#address = address;
    this.#base = base;
    this.#supervisor = supervisor;
    this.#log = log;
  }

  override async run(signal: AbortSignal): Promise<void> {
    const server = createServer((socket) => {
      if (!this.#supervisor.spawn(new KnowledgeConnection(socket, this.#base, this.#log))) {
        socket.destroy();
      }
    });
    server.maxConnections = MAX_CONNECTIONS;
    const [host, port] = this.#address.split(':');
    server.listen(Number(port), host);
    await once(server, 'listening');
    await waitForAbort(signal);
    server.close();
  }
}
