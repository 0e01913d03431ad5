/** What this node knows from the store and its peers, as one thing that can be told and learnt. */
import type InstanceRegistry from '../instances/InstanceRegistry.js';
import type RoutingHolder from '../routes/RoutingHolder.js';
import type Clock from '../supervision/Clock.js';
import type Knowledge from './Knowledge.js';
import type KnowledgeMessage from './KnowledgeMessage.js';
import type PromptNotice from './PromptNotice.js';

type Ask = Extract<KnowledgeMessage, { readonly type: 'ask' }>;

interface KnowledgeBaseOptions {
  readonly routing: RoutingHolder;
  readonly registry: InstanceRegistry;
  /** This node's own address for peers. */
  readonly address: string;
  readonly clock: Clock;
  /** Whether this node hears from the store. */
  readonly isCurrent: () => boolean;
}

/** Nodes of long ago are forgotten beyond this many: the largest fleet to design for, twice. */
const MAX_NODES = 700;

export default class KnowledgeBase {
  readonly #options: KnowledgeBaseOptions;

  readonly #nodes = new Set<string>();

  constructor(options: KnowledgeBaseOptions) {
    this.#options = options;
  }

  get isComplete(): boolean {
    const { routing, registry } = this.#options;
    return routing.current !== undefined && registry.version > 0;
  }

  /** This node's own address for peers. */
  get address(): string {
    return this.#options.address;
  }

  /** Whether the store tells this node of changes, so that peers need not be asked. */
  get isCurrent(): boolean {
    return this.#options.isCurrent();
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
