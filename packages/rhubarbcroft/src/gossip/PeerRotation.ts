/**
 * Chooses the peers that a node polls in a round while it does not receive the store's changes. Peers that do receive
 * them are polled in each round, so that the node lags the store by one round more than they do. The other places go
 * round all peers, in an order that differs from node to node and from turn to turn: when many nodes lose the store at
 * once, they do not all ask the same peers, which may have lost it too.
 */
import orderByHash from '../decisions/orderByHash.js';

/** Peers polled in a round while none is known to receive the store's changes. */
const MIN_PEERS = 2;
/** One of two may have lost the store without having noticed it yet. */
const MAX_SOURCES = 2;

export default class PeerRotation {
  readonly #address: string;

  #sources: readonly string[] = [];

  #waiting: readonly string[] = [];

  #turns = 0;

  /** The address is that of the node itself. */
  constructor(address: string) {
    this.#address = address;
  }

  /** Chooses the peers for the next round. */
  choose(nodes: readonly string[]): readonly string[] {
    const known = new Set(nodes);
    this.#sources = this.#sources.filter((node) => known.has(node));
    const others = nodes.filter((node) => !this.#sources.includes(node));
    const count = Math.min(Math.max(1, MIN_PEERS - this.#sources.length), others.length);
    this.#waiting = this.#waiting.filter((node) => others.includes(node));
    if (this.#waiting.length < count) {
      this.#turns += 1;
      const order = orderByHash(`${this.#address} ${this.#turns}`, others);
      this.#waiting = [...this.#waiting, ...order.filter((node) => !this.#waiting.includes(node))];
    }
    const chosen = this.#waiting.slice(0, count);
    this.#waiting = this.#waiting.slice(count);
    return [...this.#sources, ...chosen];
  }

  /** Records whether a polled peer answered that it receives the store's changes. */
  recordAnswer(node: string, isCurrent: boolean): void {
    const others = this.#sources.filter((source) => source !== node);
    this.#sources = isCurrent ? [...others, node].slice(-MAX_SOURCES) : others;
  }
}
