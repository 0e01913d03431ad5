/**
 * Distributes notices in a fleet that is too large for a link between any two nodes. Each node sends its notices to the
 * leader of its failure domain, the relay. The relay merges those of one period into one frame for each of its followers
 * and one for each relay of another domain, which passes it on to its own followers. So the number of connections of a
 * node, and the frames that it receives, do not grow with the fleet.
 *
 * After a failure the nodes of a domain may follow different leaders for a while, which follow each other in turn: a node
 * passes notices both up to its leader and down to its followers. Nodes follow only those ahead of them in the domain's
 * order of leaders, so notices never return to where they came from. If a relay stops, its notices of about a second are
 * lost.
 */
import type { Socket } from 'node:net';
import type Logger from 'bunyan';
import BatchNotifier from '../peers/BatchNotifier.js';
import type Clock from '../supervision/Clock.js';
import type Supervisor from '../supervision/Supervisor.js';
import type Metrics from '../telemetry/Metrics.js';
import type GossipState from './GossipState.js';
import type LeaderLink from './LeaderLink.js';
import type NoticeDistribution from './NoticeDistribution.js';
import type RelayedNotice from './RelayedNotice.js';
import RelayLinks from './RelayLinks.js';
import type WireNotices from './WireNotices.js';
import createGossipCodec from './createGossipCodec.js';
import mergeNotices from './mergeNotices.js';

interface NoticeRelayOptions {
  readonly state: GossipState;
  readonly leader: LeaderLink;
  readonly supervisor: Supervisor;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly log: Logger;
}

/** The number of peers that every node can have a link to. */
const MAX_DIRECT_PEERS = 24;
/** Smaller domains have no leader. */
const MIN_NEIGHBOURS = 5;
/** A notice passes up to two relays and is of little use after the time of a medium-sized prefill. */
const BATCH_PERIOD_MS = 30;
/** A follower with more unsent bytes is assumed not to read; it is disconnected when its pulses pile up too. */
const MAX_UNSENT_BYTES = 65_536;

export default class NoticeRelay
  extends BatchNotifier<RelayedNotice>
  implements NoticeDistribution
{
  override readonly name = 'notice-relay';

  readonly #options: NoticeRelayOptions;

  readonly #codec = createGossipCodec();

  readonly #followers = new Set<Socket>();

  readonly #links: RelayLinks;

  #createGreeting: () => Buffer | undefined = () => undefined;

  #nextRepeat = 0;

  constructor(options: NoticeRelayOptions) {
    super(options.clock, BATCH_PERIOD_MS);
    this.#options = options;
    options.leader.onNotices((notices) => this.receiveFromLeader(notices));
    this.#links = new RelayLinks({ ...options, createGreeting: () => this.#createGreeting() });
  }

  /** Whether the fleet is too large for links between all nodes, and the own failure domain has a relay. */
  get isNeeded(): boolean {
    const { nodes, neighbours } = this.#options.state;
    return nodes.length > MAX_DIRECT_PEERS && neighbours.length >= MIN_NEIGHBOURS;
  }

  /** Sets what creates the first frame of a connection. */
  setGreeting(createGreeting: () => Buffer | undefined): void {
    this.#createGreeting = createGreeting;
  }

  /** Sends the notices to a follower until the returned function is called. */
  addFollower(socket: Socket): () => void {
    this.#followers.add(socket);
    const greeting = this.#createGreeting();
    if (greeting !== undefined) {
      socket.write(greeting);
    }
    return () => {
      this.#followers.delete(socket);
    };
  }

  /** Passes on the notices that a peer sent over this connection, if they are for more nodes than this one. */
  receive(notices: WireNotices, source: Socket): void {
    if (notices.scope !== undefined) {
      this.add({ source, notices });
    }
  }

  /** Passes on the notices of the leader to the node's own followers. */
  receiveFromLeader(notices: WireNotices): void {
    if (this.#followers.size > 0) {
      this.add({ source: undefined, notices: { ...notices, scope: undefined } });
    }
  }

  distribute(notices: WireNotices): void {
    const { leader } = this.#options;
    if (leader.isFollowing && this.#followers.size === 0) {
      leader.send(this.#codec.encode({ ...notices, scope: 'fleet' }));
    } else {
      this.add({ source: undefined, notices: { ...notices, scope: 'fleet' } });
    }
  }

  repeat(notices: WireNotices): void {
    const { leader } = this.#options;
    const frame = this.#codec.encode(notices);
    const followers = [...this.#followers];
    const turn = this.#nextRepeat;
    this.#nextRepeat += 1;
    if (leader.isFollowing) {
      leader.send(frame);
    } else {
      this.#links.sendInTurn(frame, turn);
    }
    if (followers.length > 0) {
      this.#write(followers[turn % followers.length], frame);
    }
  }

  override dumpState(): unknown {
    return { followers: this.#followers.size, relays: this.#links.relays };
  }

  protected override send(items: readonly RelayedNotice[]): void {
    this.#sendToRelays(items);
    this.#sendToFollowers(items);
  }

  #sendToRelays(items: readonly RelayedNotice[]): void {
    const { leader, metrics } = this.#options;
    const select = (scope: WireNotices['scope']): readonly WireNotices[] =>
      items.map(({ notices }) => notices).filter((notices) => notices.scope === scope);
    const forFleet = select('fleet');
    const forDomain = select('domain');
    if (leader.isFollowing) {
      if (forFleet.length > 0) {
        leader.send(this.#codec.encode(mergeNotices(forFleet, 'fleet')));
      }
      if (forDomain.length > 0) {
        leader.send(this.#codec.encode(mergeNotices(forDomain, 'domain')));
      }
    } else if (forFleet.length > 0) {
      this.#links.send(this.#codec.encode(mergeNotices(forFleet, 'domain')));
      metrics.increment('notices_relayed', { to: 'domains' });
    }
  }

  /** Encodes the batch once for all followers that contributed nothing to it. */
  #sendToFollowers(items: readonly RelayedNotice[]): void {
    if (this.#followers.size === 0) {
      return;
    }
    const all = items.map(({ notices }) => notices);
    const common = this.#codec.encode(mergeNotices(all, undefined));
    const sources = new Set(items.map(({ source }) => source));
    this.#followers.forEach((follower) => {
      if (!sources.has(follower)) {
        this.#write(follower, common);
        return;
      }
      const others = items
        .filter(({ source }) => source !== follower)
        .map(({ notices }) => notices);
      if (others.length > 0) {
        this.#write(follower, this.#codec.encode(mergeNotices(others, undefined)));
      }
    });
    this.#options.metrics.increment('notices_relayed', { to: 'followers' });
  }

  #write(follower: Socket, frame: Buffer): void {
    if (follower.writableLength < MAX_UNSENT_BYTES) {
      follower.write(frame);
    }
  }
}
