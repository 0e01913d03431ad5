/**
 * Sends notices over one link to each peer, or, in a fleet with more peers than links, to those of the own failure
 * domain and some others, in an order that differs from node to node.
 */
import orderByHash from '../decisions/orderByHash.js';
import type Clock from '../supervision/Clock.js';
import type Supervisor from '../supervision/Supervisor.js';
import type GossipState from './GossipState.js';
import NoticeDistribution from './NoticeDistribution.js';
import NoticeLink from './NoticeLink.js';
import type WireNotices from './WireNotices.js';
import createGossipCodec from './createGossipCodec.js';

interface DirectNoticesOptions {
  readonly state: GossipState;
  readonly supervisor: Supervisor;
  readonly clock: Clock;
  readonly maxLinks: number;
  /** Creates the first frame of a connection; undefined when there is nothing to send. */
  readonly createGreeting: () => Buffer | undefined;
}

export default class DirectNotices extends NoticeDistribution {
  readonly #options: DirectNoticesOptions;

  readonly #codec = createGossipCodec();

  readonly #links = new Map<string, NoticeLink>();

  #nextRepeat = 0;

  constructor(options: DirectNoticesOptions) {
    super();
    this.#options = options;
  }

  override distribute(notices: WireNotices): void {
    this.#openLinks();
    const frame = this.#codec.encode(notices);
    this.#links.forEach((link) => link.send(frame));
  }

  override repeat(notices: WireNotices): void {
    this.#openLinks();
    const links = [...this.#links.values()];
    if (links.length > 0) {
      links[this.#nextRepeat % links.length].send(this.#codec.encode(notices));
      this.#nextRepeat += 1;
    }
  }

  #openLinks(): void {
    const { state, supervisor, clock, maxLinks, createGreeting } = this.#options;
    if (this.#links.size === maxLinks || this.#links.size === state.nodes.length) {
      return;
    }
    const { address: ownAddress, neighbours, nodes } = state;
    const others = orderByHash(ownAddress, nodes);
    [...neighbours, ...others].forEach((address) => {
      if (address !== ownAddress && !this.#links.has(address) && this.#links.size < maxLinks) {
        const link = new NoticeLink(address, clock, createGreeting);
        this.#links.set(address, link);
        supervisor.add(link);
      }
    });
  }
}
