/** A replica of the soak behind a relay: it executes the requests it receives and records them. */
import { setTimeout as sleep } from 'node:timers/promises';
import Relay from '@rhubarbcroft/standins/fleet/Relay';
import type Arrival from '../platform/standins/Arrival.js';
import ReplicaStandin from '../platform/standins/ReplicaStandin.js';
import type StoreStandin from '../platform/standins/StoreStandin.js';
import type Evidence from './Evidence.js';
import createExpectedBody from './createExpectedBody.js';

/** How a replica responds to a request; `answer` is the normal mode. */
type ResponseMode = 'answer' | 'break' | 'decline' | 'loseAnswer';

const WORK_MS = 15;
const EVENT_MS = 8;

export default class SoakReplica {
  readonly relay: Relay;

  responseMode: ResponseMode = 'answer';

  readonly #standin: ReplicaStandin;

  readonly #store: StoreStandin;

  readonly #evidence: Evidence;

  /** Incremented by each registration, since each incarnation has its own id. */
  #incarnation = 0;

  private constructor(
    standin: ReplicaStandin,
    relay: Relay,
    store: StoreStandin,
    evidence: Evidence,
  ) {
    this.#standin = standin;
    this.relay = relay;
    this.#store = store;
    this.#evidence = evidence;
    Object.assign(standin, { behaviour: (arrival: Arrival) => this.#serve(arrival) });
  }

  static async start(
    standin: ReplicaStandin,
    store: StoreStandin,
    evidence: Evidence,
  ): Promise<SoakReplica> {
    await standin.start();
    const relay = await Relay.start(Number(standin.address.split(':')[1]));
    const replica = new SoakReplica(standin, relay, store, evidence);
    replica.register();
    return replica;
  }

  get id(): string {
    return `${this.#standin.id}-${this.#incarnation}`;
  }

  /** Registers the replica as a new incarnation. */
  register(): void {
    this.#incarnation += 1;
    this.#store.put('servers', this.id, this.#createEntry('ready'));
  }

  /** Reports that the replica is leaving; it continues to serve requests. */
  leave(): void {
    this.#store.put('servers', this.id, this.#createEntry('draining'));
    this.#evidence.recordLeaving(this.id);
  }

  /** Removes the replica's entry from the store, as after a crash or at the end of a drain. */
  deregister(): void {
    this.#store.remove('servers', this.id);
  }

  async stop(): Promise<void> {
    await this.relay.stop();
    await this.#standin.stop();
  }

  #createEntry(state: 'ready' | 'draining'): unknown {
    const born = 1_700_000_000_000 + this.#incarnation;
    const address = `127.0.0.1:${this.relay.port}`;
    return this.#standin.createEntry({ state, born, address, slots: 64 });
  }

  async #serve(arrival: Arrival): Promise<void> {
    const { headers, response, id, path, socket, body } = arrival;
    if (headers['x-expect-instance'] !== this.id) {
      response.writeHead(421, { 'x-request-id': id });
      response.end();
      return;
    }
    if (this.responseMode === 'decline') {
      ReplicaStandin.decline(arrival);
      return;
    }
    if (path === '/api/order') {
      const { holder } = JSON.parse(body) as { readonly holder: string };
      this.#evidence.recordOrder(this.id, holder);
      response.writeHead(202);
      response.end();
      return;
    }
    if (headers['x-stage'] === 'prefill') {
      ReplicaStandin.answer(arrival);
      return;
    }
    const callerSetKvHold = headers['x-kv-hold'] !== undefined;
    const atMs = performance.now();
    this.#evidence.recordRun({
      requestId: id,
      replicaId: this.id,
      path,
      atMs,
      hasForgedHeader: callerSetKvHold,
    });
    await sleep(WORK_MS);
    if (this.responseMode === 'loseAnswer') {
      socket.resetAndDestroy();
      return;
    }
    await this.#answer(arrival);
  }

  async #answer({ id, path, headers, response, socket }: Arrival): Promise<void> {
    const fullBody = createExpectedBody(path, id);
    const responseHeaders = { 'x-request-id': id, 'x-response-seal': `seal-${id}` };
    if (!fullBody.startsWith('id:')) {
      response.writeHead(200, { ...responseHeaders, 'content-length': fullBody.length });
      if (this.responseMode === 'break') {
        response.write(fullBody.slice(0, 3));
        setTimeout(() => socket.resetAndDestroy(), EVENT_MS);
      } else {
        response.end(fullBody);
      }
      return;
    }
    response.writeHead(200, responseHeaders);
    const events = fullBody.split(/(?<=\n\n)/);
    for (const [index, event] of events.slice(Number(headers['last-event-id'] ?? 0)).entries()) {
      if (this.responseMode === 'break' && index === 4) {
        response.write(event.slice(0, 5));
        setTimeout(() => socket.resetAndDestroy(), EVENT_MS);
        return;
      }
      response.write(event);
      await sleep(EVENT_MS);
    }
    response.end();
  }
}
