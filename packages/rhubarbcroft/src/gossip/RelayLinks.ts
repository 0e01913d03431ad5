/**
 * The links of a relay to those of the other failure domains. All nodes of a domain choose their relay in the same order,
 * so the first one that can be reached is most likely the domain's relay; any other passes on what it receives.
 */
import type Logger from 'bunyan';
import orderByHash from '../decisions/orderByHash.js';
import type Clock from '../supervision/Clock.js';
import type Supervisor from '../supervision/Supervisor.js';
import type GossipState from './GossipState.js';
import LEADER_HASH_KEY from './LEADER_HASH_KEY.js';
import NoticeLink from './NoticeLink.js';

interface RelayLinksOptions {
  readonly state: GossipState;
  readonly supervisor: Supervisor;
  readonly clock: Clock;
  readonly log: Logger;
  /** Creates the first frame of a connection; undefined when there is nothing to send. */
  readonly createGreeting: () => Buffer | undefined;
}

/** A planned stop of a third of a domain's nodes in turn leaves one of these. */
const MAX_CANDIDATES = 4;

export default class RelayLinks {
  readonly #options: RelayLinksOptions;

  readonly #links = new Map<string, NoticeLink>();

  readonly #relaysByDomain = new Map<string, string>();

  constructor(options: RelayLinksOptions) {
    this.#options = options;
  }

  /** The relays in use, by failure domain. */
  get relays(): Readonly<Record<string, string>> {
    return Object.fromEntries(this.#relaysByDomain);
  }

  /** Sends a frame to the relay of each other failure domain, and of the own one if this node is not its first choice. */
  send(frame: Buffer): void {
    const { nodesByDomain, domain: ownDomain } = this.#options.state;
    nodesByDomain.forEach((_nodes, domain) => {
      if (domain !== ownDomain || !this.#isFirst()) {
        this.#findLink(domain)?.send(frame);
      }
    });
  }

  /** Sends a frame to the relays of one other failure domain after the other. */
  sendInTurn(frame: Buffer, turn: number): void {
    const { nodesByDomain, domain: ownDomain } = this.#options.state;
    const domains = [...nodesByDomain.keys()].filter((domain) => domain !== ownDomain);
    if (domains.length > 0) {
      this.#findLink(domains[turn % domains.length])?.send(frame);
    }
  }

  #isFirst(): boolean {
    const { nodesByDomain, domain, address } = this.#options.state;
    return orderByHash(LEADER_HASH_KEY, nodesByDomain.get(domain) ?? [])[0] === address;
  }

  /** The link to the first candidate that is connected. The next one is tried only after a failure. */
  #findLink(domain: string): NoticeLink | undefined {
    const { state, log } = this.#options;
    const candidates = orderByHash(LEADER_HASH_KEY, state.nodesByDomain.get(domain) ?? [])
      .filter((address) => address !== state.address)
      .slice(0, MAX_CANDIDATES);
    for (const address of candidates) {
      const link = this.#resolveLink(address);
      if (link.isConnected && this.#relaysByDomain.get(domain) !== address) {
        this.#relaysByDomain.set(domain, address);
        log.info({ domain, relay: address }, 'sending notices for a failure domain to its relay');
      }
      if (link.isConnected || !link.hasFailed) {
        return link;
      }
    }
    return undefined;
  }

  #resolveLink(address: string): NoticeLink {
    const known = this.#links.get(address);
    if (known !== undefined) {
      return known;
    }
    const { supervisor, clock, createGreeting } = this.#options;
    const link = new NoticeLink(address, clock, createGreeting);
    this.#links.set(address, link);
    supervisor.add(link);
    return link;
  }
}
