/**
 * The order in which nodes take over the duties, the same at all nodes that know the same fleet. A node that did not
 * answer is left out for a while.
 */
import orderByHash from '../decisions/orderByHash.js';
import type Clock from '../supervision/Clock.js';

const HASH_KEY = 'duties';
const AVOIDANCE_MS = 15_000;

export default class Candidates {
  readonly #clock: Clock;

  readonly #listPeers: () => readonly string[];

  readonly #address: string;

  readonly #avoidedUntilMs = new Map<string, number>();

  /** `listPeers` lists the addresses of the other nodes, `address` is the own one. */
  constructor(clock: Clock, listPeers: () => readonly string[], address: string) {
    this.#clock = clock;
    this.#listPeers = listPeers;
    this.#address = address;
  }

  /** The number of nodes that come before this one. */
  get rank(): number {
    return this.#list().indexOf(this.#address);
  }

  /** The first of the other nodes; undefined when there is none. */
  findFirstPeer(): string | undefined {
    return this.#list().find((node) => node !== this.#address);
  }

  avoid(node: string): void {
    this.#avoidedUntilMs.set(node, this.#clock.nowMs() + AVOIDANCE_MS);
  }

  #list(): readonly string[] {
    const nowMs = this.#clock.nowMs();
    const peers = this.#listPeers().filter(
      (node) => (this.#avoidedUntilMs.get(node) ?? -Infinity) <= nowMs,
    );
    return orderByHash(HASH_KEY, [...peers, this.#address]);
  }
}
