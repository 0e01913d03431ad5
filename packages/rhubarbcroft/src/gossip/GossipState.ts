/**
 * What this node has received from the store and from its peers: creates the gossip messages that carry it and
 * applies those of the peers.
 */
import estimateGenerationMs from '../decisions/room/estimateGenerationMs.js';
import type PaceNotice from '../decisions/pace/PaceNotice.js';
import type FeedPage from '../discovery/FeedPage.js';
import type TallyReceiver from '../duties/TallyReceiver.js';
import type TallyReply from '../duties/TallyReply.js';
import type WireTally from '../duties/WireTally.js';
import parseTally from '../duties/parseTally.js';
import type Instance from '../instances/Instance.js';
import isAddress from '../instances/isAddress.js';
import type InstanceRegistry from '../instances/InstanceRegistry.js';
import type CurrentRouting from '../routes/CurrentRouting.js';
import type Clock from '../supervision/Clock.js';
import type ListedNode from './ListedNode.js';
import type GossipSnapshot from './GossipSnapshot.js';
import type GossipMessage from './GossipMessage.js';
import type DispatchedPrompt from './DispatchedPrompt.js';
import type EvidenceExchange from './EvidenceExchange.js';
import encodeEvidence from './encodeEvidence.js';
import parseEvidence from './parseEvidence.js';

type SnapshotRequest = Extract<GossipMessage, { readonly type: 'ask' }>;
type FollowRequest = Extract<GossipMessage, { readonly type: 'follow' }>;
type Pulse = Extract<GossipMessage, { readonly type: 'pulse' }>;

interface GossipStateOptions {
  readonly routing: CurrentRouting;
  readonly registry: InstanceRegistry;
  /** The address at which this node accepts peers, as `host:port`. */
  readonly address: string;
  /** The failure domain of this node. */
  readonly domain: string;
  readonly clock: Clock;
}

/**
 * Twice the largest fleet that the system is designed for; beyond it the addresses that were received longest ago
 * are dropped.
 */
const MAX_NODES = 700;

export default class GossipState {
  readonly #options: GossipStateOptions;

  readonly #nodes = new Set<string>();

  /** The nodes of this node's failure domain, itself included, as last read from the platform's node list. */
  #neighbours: readonly string[] = [];

  /** The nodes of each failure domain, as last read from the platform's node list. */
  #nodesByDomain: ReadonlyMap<string, readonly string[]> = new Map();

  /** The number of peers that follow the store through this node. */
  #followerCount = 0;

  /** The feeds of the store that this node reads. */
  #feeds: readonly { readonly isHealthy: boolean }[] = [];

  #evidence: EvidenceExchange | undefined;

  #tallies: TallyReceiver | undefined;

  constructor(options: GossipStateOptions) {
    this.#options = options;
  }

  /** Whether this node has a routing document and a listing of the instances. */
  get isComplete(): boolean {
    const { routing, registry } = this.#options;
    return routing.current !== undefined && registry.version > 0;
  }

  /** Sets the feeds whose health decides `isCurrent`. */
  setFeeds(feeds: readonly { readonly isHealthy: boolean }[]): void {
    this.#feeds = feeds;
  }

  /** Sets what receives the crash reports of the peers. */
  setEvidence(evidence: EvidenceExchange): void {
    this.#evidence = evidence;
  }

  /** Sets what receives the tallies of the peers. */
  setTallies(tallies: TallyReceiver): void {
    this.#tallies = tallies;
  }

  /** Receives the tally of a peer; undefined when it is malformed or there are no duties. */
  receiveTally(encoded: WireTally): TallyReply | undefined {
    const tally = parseTally(encoded);
    return tally && this.#tallies?.receive(tally);
  }

  /** The address at which this node accepts peers, as `host:port`. */
  get address(): string {
    return this.#options.address;
  }

  /** Whether all feeds of the store are healthy, so that peers need not be polled. */
  get isCurrent(): boolean {
    return this.#feeds.length > 0 && this.#feeds.every(({ isHealthy }) => isHealthy);
  }

  /** The addresses of other nodes. */
  get nodes(): readonly string[] {
    return [...this.#nodes];
  }

  /** Adds addresses of peers; the own address, and those to which no connection can be made, are ignored. */
  addNodes(addresses: readonly string[]): void {
    addresses.filter(isAddress).forEach((address) => {
      if (address !== this.#options.address) {
        this.#nodes.delete(address);
        this.#nodes.add(address);
      }
    });
    [...this.#nodes].slice(0, -MAX_NODES).forEach((address) => this.#nodes.delete(address));
  }

  /** The addresses of the nodes of this node's failure domain, itself included. */
  get neighbours(): readonly string[] {
    return this.#neighbours;
  }

  /** Whether peers follow the store through this node. */
  get hasFollowers(): boolean {
    return this.#followerCount > 0;
  }

  /** Takes over a reading of the platform's node list. */
  addListedNodes(nodes: readonly ListedNode[]): void {
    this.addNodes(nodes.map(({ address }) => address));
    this.#neighbours = nodes
      .filter(({ address, domain }) => isAddress(address) && domain === this.#options.domain)
      .map(({ address }) => address);
    this.#nodesByDomain = new Map(
      [...new Set(nodes.map(({ domain }) => domain))].map((domain) => [
        domain,
        nodes
          .filter((node) => node.domain === domain && isAddress(node.address))
          .map(({ address }) => address),
      ]),
    );
  }

  /** The failure domain of this node. */
  get domain(): string {
    return this.#options.domain;
  }

  /** The nodes of each failure domain, as last read from the platform's node list; empty before. */
  get nodesByDomain(): ReadonlyMap<string, readonly string[]> {
    return this.#nodesByDomain;
  }

  /** Counts a peer that follows the store through this node until the returned function is called. */
  addFollower(): () => void {
    this.#followerCount += 1;
    return () => {
      this.#followerCount -= 1;
    };
  }

  /** Rises whenever an instance is added, changed or removed at this node. */
  get instancesRevision(): number {
    return this.#options.registry.revision;
  }

  /** Creates the message that followers receive: the routing version, and all instances if `withInstances` is set. */
  createPulse(withInstances: boolean): Pulse {
    const { routing, registry } = this.#options;
    return {
      type: 'pulse',
      routingVersion: routing.version,
      instances: withInstances ? registry.createPage() : undefined,
      isCurrent: this.isCurrent,
    };
  }

  /** Creates the request to follow the store through a leader. */
  createFollowRequest(): FollowRequest {
    return { type: 'follow', instancesVersion: this.#options.registry.version };
  }

  /** Takes over the instances that the leader sent. */
  adoptInstances(page: FeedPage<Instance>): void {
    this.#options.registry.applyPeerPage(page, true);
  }

  /** The version of the store's instance table that this node has; 0 before the first listing. */
  get instancesVersion(): number {
    return this.#options.registry.version;
  }

  /** Creates the request for a snapshot of what a peer has beyond the versions of this node. */
  createSnapshotRequest(): SnapshotRequest {
    const { routing, registry, address } = this.#options;
    return {
      type: 'ask',
      routingVersion: routing.version,
      instancesVersion: registry.version,
      address,
    };
  }

  /** Creates the snapshot for a requester; content that is not newer than its versions is left out. */
  createSnapshot({ routingVersion, instancesVersion }: SnapshotRequest): GossipSnapshot {
    const { routing, registry, address, clock } = this.#options;
    const { current } = routing;
    const reports = this.#evidence?.listReports() ?? [];
    return {
      routing: routing.version > routingVersion ? current?.document : undefined,
      instances: registry.version > instancesVersion ? registry.createPage() : undefined,
      isCurrent: this.isCurrent,
      nodes: [...this.#nodes, address],
      evidence: encodeEvidence(reports, [], clock.nowMs()),
    };
  }

  /** Includes a prompt that a peer dispatched in the estimates of the engine's queue, streams and cache. */
  recordDispatch({
    instanceId,
    rank,
    prefillMs,
    outputTokens,
    ownTokens,
    sharedParts,
  }: DispatchedPrompt): void {
    const { registry, clock } = this.#options;
    const state = registry.find(instanceId);
    if (state !== undefined) {
      const sentAtMs = clock.nowMs();
      if (prefillMs > 0) {
        state.prefillQueue.add({ attemptId: undefined, rank, costMs: prefillMs, sentAtMs });
      }
      if (outputTokens > 0) {
        state.recordPeerGeneration(sentAtMs + prefillMs, outputTokens);
      }
      state.kvCache.recordPrompt(sharedParts);
      const endsAtMs = sentAtMs + prefillMs + estimateGenerationMs(outputTokens);
      state.memory.holdUntilEnd({ sharedParts, ownTokens: ownTokens + outputTokens, endsAtMs });
    }
  }

  /** Records the report of a peer that it could not reach an endpoint. */
  recordUnreachable(instanceId: string): void {
    const { registry, clock } = this.#options;
    registry.find(instanceId)?.health.recordPeerReport(clock.nowMs());
  }

  /** Includes what a peer has learnt of an endpoint's pace. */
  recordPace(notice: PaceNotice | undefined): void {
    const { registry, clock } = this.#options;
    if (notice !== undefined) {
      const { instanceId, measure, value } = notice;
      registry.find(instanceId)?.pace.recordFromPeer(measure, value, clock.nowMs());
    }
  }

  /** Takes over the crash reports of a peer; returns false if they are malformed. */
  mergeEvidence(encoded: object): boolean {
    const evidence = parseEvidence(encoded, this.#options.clock.nowMs());
    if (evidence !== undefined) {
      this.#evidence?.merge(evidence.reports, evidence.trials);
    }
    return evidence !== undefined;
  }

  /** Takes over what is newer and returns whether anything was. Throws when the snapshot is malformed. */
  mergeSnapshot({ routing, instances, isCurrent, nodes }: GossipSnapshot): boolean {
    const { routing: routingHolder, registry } = this.#options;
    this.addNodes(nodes);
    // Nodes that run an older version decode no accounts. Without them the document would admit every caller.
    const hasAccounts = routing !== undefined && Object.hasOwn(routing, 'accounts');
    const hasRouting = hasAccounts && routingHolder.accept(routing);
    const hasInstances = instances !== undefined && instances.version > registry.version;
    if (hasInstances) {
      registry.applyPeerPage(instances, isCurrent);
    }
    return hasRouting || hasInstances;
  }
}
