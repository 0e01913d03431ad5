/** What this node knows from the store and its peers, as one thing that can be told and learnt. */
import type FeedPage from '../discovery/FeedPage.js';
import type Instance from '../instances/Instance.js';
import type InstanceRegistry from '../instances/InstanceRegistry.js';
import type RoutingHolder from '../routes/RoutingHolder.js';
import type Clock from '../supervision/Clock.js';
import type KnownNode from './KnownNode.js';
import type Knowledge from './Knowledge.js';
import type KnowledgeMessage from './KnowledgeMessage.js';
import type PromptNotice from './PromptNotice.js';

type Ask = Extract<KnowledgeMessage, { readonly type: 'ask' }>;
type Follow = Extract<KnowledgeMessage, { readonly type: 'follow' }>;
type Pulse = Extract<KnowledgeMessage, { readonly type: 'pulse' }>;

interface KnowledgeBaseOptions {
  readonly routing: RoutingHolder;
  readonly registry: InstanceRegistry;
  /** This node's own address for peers. */
  readonly address: string;
  readonly domain: string;
  readonly clock: Clock;
}

/** Nodes of long ago are forgotten beyond this many: the largest fleet to design for, twice. */
const MAX_NODES = 700;

export default class KnowledgeBase {
  readonly #options: KnowledgeBaseOptions;

  readonly #nodes = new Set<string>();

  /** The nodes of this node's own domain, itself included, as the platform's list had them. */
  #neighbours: readonly string[] = [];

  /** Peers that follow the store through this node. */
  #followers = 0;

  /** The feeds that keep this node current. */
  #feeds: readonly { readonly isHealthy: boolean }[] = [];

  constructor(options: KnowledgeBaseOptions) {
    this.#options = options;
  }

  get isComplete(): boolean {
    const { routing, registry } = this.#options;
    return routing.current !== undefined && registry.version > 0;
  }

  watchFeeds(feeds: readonly { readonly isHealthy: boolean }[]): void {
    this.#feeds = feeds;
  }

  /** This node's own address for peers. */
  get address(): string {
    return this.#options.address;
  }

  /** Whether the store tells this node of changes, so that peers need not be asked. */
  get isCurrent(): boolean {
    return this.#feeds.length > 0 && this.#feeds.every(({ isHealthy }) => isHealthy);
  }

  /** The addresses of other nodes. */
  get nodes(): readonly string[] {
    return [...this.#nodes];
  }

  addNodes(addresses: readonly string[]): void {
    addresses.forEach((address) => {
      if (address !== this.#options.address) {
        this.#nodes.delete(address);
        this.#nodes.add(address);
      }
    });
    [...this.#nodes].slice(0, -MAX_NODES).forEach((address) => this.#nodes.delete(address));
  }

  get neighbours(): readonly string[] {
    return this.#neighbours;
  }

  get hasFollowers(): boolean {
    return this.#followers > 0;
  }

  addListed(nodes: readonly KnownNode[]): void {
    this.addNodes(nodes.map(({ address }) => address));
    this.#neighbours = nodes
      .filter(({ domain }) => domain === this.#options.domain)
      .map(({ address }) => address);
  }

  /** A peer begins to follow the store through this node; the function that is returned ends it. */
  addFollower(): () => void {
    this.#followers += 1;
    return () => {
      this.#followers -= 1;
    };
  }

  /** How often what is known of instances has changed here. */
  get instancesRevision(): number {
    return this.#options.registry.revision;
  }

  /** What a follower is told: the versions, and the instances where they are asked for. */
  createPulse(withInstances: boolean): Pulse {
    const { routing, registry } = this.#options;
    return {
      type: 'pulse',
      routingVersion: routing.version,
      instances: withInstances ? registry.createPage() : undefined,
      isCurrent: this.isCurrent,
    };
  }

  createFollow(): Follow {
    return { type: 'follow', instancesVersion: this.#options.registry.version };
  }

  /** Takes over the instances of the node that this one follows the store through. */
  adoptInstances(page: FeedPage<Instance>): void {
    this.#options.registry.adopt(page, true);
  }

  get instancesVersion(): number {
    return this.#options.registry.version;
  }

  createQuestion(): Ask {
    const { routing, registry, address } = this.#options;
    return {
      type: 'ask',
      routingVersion: routing.version,
      instancesVersion: registry.version,
      address,
    };
  }

  /** What is newer here than what the asker has. */
  tell({ routingVersion, instancesVersion }: Ask): Knowledge {
    const { routing, registry, address } = this.#options;
    const { current } = routing;
    return {
      routing: routing.version > routingVersion ? current?.document : undefined,
      instances: registry.version > instancesVersion ? registry.createPage() : undefined,
      isCurrent: this.isCurrent,
      nodes: [...this.#nodes, address],
    };
  }

  /** Reckons with a prompt that a peer has sent to an engine. */
  noteSend({ instanceId, rank, prefillMs, outputTokens, sharedParts }: PromptNotice): void {
    const { registry, clock } = this.#options;
    const state = registry.find(instanceId);
    if (state !== undefined) {
      const sentAtMs = clock.nowMs();
      if (prefillMs > 0) {
        state.queue.add({ attemptId: undefined, rank, costMs: prefillMs, sentAtMs });
      }
      if (outputTokens > 0) {
        state.beginForeign(sentAtMs + prefillMs, outputTokens);
      }
      state.cache.touch(sharedParts);
    }
  }

  /** A peer could not reach an endpoint. */
  noteUnreachable(instanceId: string): void {
    const { registry, clock } = this.#options;
    registry.find(instanceId)?.health.recordSuspicion(clock.nowMs());
  }

  /** Takes over what is newer than what is known here. Returns whether anything was. */
  learn({ routing, instances, isCurrent, nodes }: Knowledge): boolean {
    const { routing: holder, registry } = this.#options;
    this.addNodes(nodes);
    const hasRouting = routing !== undefined && holder.accept(routing);
    const hasInstances = instances !== undefined && instances.version > registry.version;
    if (hasInstances) {
      registry.adopt(instances, isCurrent);
    }
    return hasRouting || hasInstances;
  }
}
