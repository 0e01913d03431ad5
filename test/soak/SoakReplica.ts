/** A replica of the soak behind a relay: it runs what reaches it, and tells the evidence. */
import { setTimeout as sleep } from 'node:timers/promises';
import Relay from '@rhubarbcroft/standins/fleet/Relay';
import type Arrival from '../platform/standins/Arrival.js';
import ReplicaStandin from '../platform/standins/ReplicaStandin.js';
import type StoreStandin from '../platform/standins/StoreStandin.js';
import type Evidence from './Evidence.js';
import createExpectedBody from './createExpectedBody.js';

/** What a replica does with a request instead of answering it. */
type Manner = 'answer' | 'break' | 'decline' | 'loseAnswer';

const WORK_MS = 15;
const EVENT_MS = 8;

export default class SoakReplica {
  readonly relay: Relay;

  manner: Manner = 'answer';

  readonly #standin: ReplicaStandin;

  readonly #store: StoreStandin;

  readonly #evidence: Evidence;

  /** Each start is a new incarnation, under a new id. */
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

  /** Starts as a new incarnation. */
  register(): void {
    this.#incarnation += 1;
    this.#store.put('servers', this.id, this.#createEntry('ready'));
  }

  /** Says that it leaves; it goes on serving. */
  leave(): void {
    this.#store.put('servers', this.id, this.#createEntry('draining'));
    this.#evidence.recordLeaving(this.id);
  }

  /** Its entry goes, as after a crash or at the end of a drain. */
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
    if (this.manner === 'decline') {
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
    const wasSmuggled = headers['x-kv-hold'] !== undefined;
    const atMs = performance.now();
    this.#evidence.recordRun({ requestId: id, replicaId: this.id, path, atMs, wasSmuggled });
    await sleep(WORK_MS);
    if (this.manner === 'loseAnswer') {
      socket.resetAndDestroy();
      return;
    }
    await this.#answer(arrival);
  }

  async #answer({ id, path, headers, response, socket }: Arrival): Promise<void> {
    const whole = createExpectedBody(path, id);
    const head = { 'x-request-id': id, 'x-response-seal': `seal-${id}` };
    if (!whole.startsWith('id:')) {
      response.writeHead(200, { ...head, 'content-length': whole.length });
      if (this.manner === 'break') {
        response.write(whole.slice(0, 3));
        setTimeout(() => socket.resetAndDestroy(), EVENT_MS);
      } else {
        response.end(whole);
      }
      return;
    }
    response.writeHead(200, head);
    const events = whole.split(/(?<=\n\n)/);
    for (const [at, event] of events.slice(Number(headers['last-event-id'] ?? 0)).entries()) {
      if (this.manner === 'break' && at === 4) {
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
