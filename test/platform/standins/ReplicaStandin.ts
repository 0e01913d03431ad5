/**
 * Stand-in for a replica, served over HTTP in the process of a test with the platform's published protocol. The test
 * sets its behaviour; the requests that it receives are recorded.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { once } from 'node:events';
import type Arrival from './Arrival.js';

type Behaviour = (arrival: Arrival, count: number) => Promise<void> | void;

export default class ReplicaStandin {
  readonly id: string;

  readonly service: string;

  readonly stage: 'prefill' | 'decode' | undefined;

  readonly arrivals: Arrival[] = [];

  readonly released: string[] = [];

  behaviour: Behaviour = ReplicaStandin.answer;

  /** Whether all answers announce that the replica leaves. */
  isLeaving = false;

  readonly #server: Server;

  constructor(id: string, service: string, stage?: 'prefill' | 'decode') {
    this.id = id;
    this.service = service;
    this.stage = stage;
    this.#server = createServer((request, response) => {
      void this.#serve(request, response);
    });
  }

  async start(): Promise<this> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return this;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** The row by which the replica is registered in the store's table `servers`. */
  createEntry(options: Readonly<Record<string, unknown>> = {}): unknown {
    return {
      service: this.service,
      address: this.address,
      zone: 'a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: 1,
      born: 1_700_000_000_000,
      ...(this.stage === undefined ? {} : { stage: this.stage }),
      ...options,
    };
  }

  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    this.#server.close();
    await once(this.#server, 'close');
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    const path = request.url ?? '/';
    if (this.isLeaving) {
      response.setHeader('server-leaving', '1');
    }
    if (request.method === 'DELETE' && path.startsWith('/api/kv-handle/')) {
      this.released.push(path.slice('/api/kv-handle/'.length));
      response.end();
      return;
    }
    const arrival = {
      id: String(request.headers['x-request-id']),
      method: request.method ?? '',
      path,
      headers: request.headers,
      body: Buffer.concat(chunks).toString('utf8'),
      response,
      socket: request.socket,
      left: once(response, 'close').then(() => undefined),
    };
    this.arrivals.push(arrival);
    await this.behaviour(arrival, this.arrivals.length);
  }

  static answer({ id, response, body, headers }: Arrival): void {
    if (headers['x-stage'] === 'prefill') {
      response.writeHead(200, { 'content-type': 'application/json', 'x-request-id': id });
      response.end(JSON.stringify({ kvHandle: `kv-${id}`, tokens: 10, version: 1 }));
      return;
    }
    response.writeHead(200, { 'x-request-id': id, 'x-response-seal': `seal-${id}` });
    response.end(`answer to ${id} ${body}`);
  }

  static decline({ id, response }: Arrival): void {
    response.writeHead(503, { 'x-request-id': id, 'x-not-executed': '1' });
    response.end();
  }

  static fail({ id, response }: Arrival): void {
    response.writeHead(500, { 'x-request-id': id, 'x-response-seal': `seal-${id}` });
    response.end('failed');
  }

  static resetConnection({ socket }: Arrival): void {
    socket.resetAndDestroy();
  }

  /**
   * Streams events from the one after the request's `last-event-id` up to `last`. Sends half an event and resets the
   * connection after the event `breaksAfter`.
   */
  static stream(last: number, breaksAfter = Infinity): Behaviour {
    return async ({ id, response, headers, socket }) => {
      response.writeHead(200, {
        'content-type': 'text/event-stream',
        'x-request-id': id,
        'x-response-seal': `seal-${id}`,
      });
      const first = Number(headers['last-event-id'] ?? 0) + 1;
      for (let event = first; event <= last; event += 1) {
        if (event > breaksAfter) {
          response.write(`id: ${event}\ndata: half of`);
          setTimeout(() => socket.resetAndDestroy(), 30);
          return;
        }
        response.write(`id: ${event}\ndata: token ${event}\n\n`);
        await new Promise((resolve) => {
          setTimeout(resolve, 5);
        });
      }
      response.end();
    };
  }
}
