/** The links to the peers that the settings name; a broadcast goes to each open link. */
import type PeerMessage from '@rhubarbcroft/protocol/peers/PeerMessage';
import type Supervisor from '../supervision/Supervisor.js';
import type PeerContext from './PeerContext.js';
import PeerLink from './PeerLink.js';

export default class PeerNetwork {
  readonly #links: readonly PeerLink[];

  constructor(seeds: readonly string[], context: PeerContext, createHeartbeat: () => PeerMessage) {
    this.#links = seeds.map((address) => new PeerLink(address, context, createHeartbeat));
  }

  /** Adds the task of each link to a supervisor. */
  declareLinks(supervisor: Supervisor): void {
    supervisor.declareChildren(...this.#links);
  }

  broadcast(message: PeerMessage): void {
    this.#links.forEach((link) => link.send(message));
  }

  get openCount(): number {
    return this.#links.filter((link) => link.isOpen).length;
  }
}
