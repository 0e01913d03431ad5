/**
 * The entry VMs from which heartbeats were received. A node counts as live while its last heartbeat is at most
 * `LIVE_HEARTBEATS` periods old; this node always counts as live.
 */
import type Clock from '../supervision/Clock.js';
import type Demand from '../decisions/roles/Demand.js';
import type DomainPosition from './DomainPosition.js';
import type NodeView from './NodeView.js';

const LIVE_HEARTBEATS = 3;
/** Beyond this number the node whose last heartbeat is the oldest is dropped. */
const MAX_NODES = 4_096;

interface OwnNode {
  readonly nodeId: string;
  /** Differs for each process of the node. */
  readonly incarnation: string;
  readonly domain: string;
}

export default class NodeDirectory {
  readonly own: OwnNode;

  readonly #clock: Clock;

  readonly #liveMs: number;

  readonly #nodes = new Map<string, NodeView>();

  constructor(own: OwnNode, clock: Clock, heartbeatMs: number) {
    this.own = own;
    this.#clock = clock;
    this.#liveMs = heartbeatMs * LIVE_HEARTBEATS;
  }

  /** Records a heartbeat that was received now. */
  record(view: Omit<NodeView, 'heardAtMs'>): void {
    if (this.#nodes.size >= MAX_NODES && !this.#nodes.has(view.nodeId)) {
      this.#dropOldest();
    }
    const { nodeId, incarnation, domain, configurationVersion, leaving, demand } = view;
    this.#nodes.delete(nodeId);
    this.#nodes.set(nodeId, {
      nodeId,
      incarnation,
      domain,
      configurationVersion,
      leaving,
      demand,
      heardAtMs: this.#clock.nowMs(),
    });
  }

  get(nodeId: string): NodeView | undefined {
    return this.#nodes.get(nodeId);
  }

  /**
   * The ids of the nodes of this node's failure domain whose last heartbeat is at most `maxHeartbeatAgeMs` old and
   * that are not leaving, this node included, in ascending order. By default these are the live nodes.
   */
  listDomainNodes(maxHeartbeatAgeMs = this.#liveMs): readonly string[] {
    const others = this.#listReceived(maxHeartbeatAgeMs).filter(
      (node) => node.domain === this.own.domain && !node.leaving,
    );
    return [this.own.nodeId, ...others.map((node) => node.nodeId)].sort();
  }

  /** The position of this node among the live nodes of its failure domain. */
  findDomainPosition(): DomainPosition {
    const nodes = this.listDomainNodes();
    return { index: nodes.indexOf(this.own.nodeId), count: nodes.length };
  }

  /** The demand for one model at the other live nodes of this failure domain, in tokens per second. */
  sumDomainDemand(model: string): Demand {
    const demands = this.#listReceived(this.#liveMs)
      .filter((node) => node.domain === this.own.domain)
      .flatMap((node) => node.demand.filter((demand) => demand.model === model));
    return {
      promptTokensPerS: demands.reduce((sum, demand) => sum + demand.promptTokensPerS, 0),
      outputTokensPerS: demands.reduce((sum, demand) => sum + demand.outputTokensPerS, 0),
    };
  }

  /** The version of the fleet document in force at each other node, as its last heartbeat reported it. */
  listConfigurationVersions(): readonly {
    readonly nodeId: string;
    readonly version: number;
    readonly ageMs: number;
  }[] {
    const nowMs = this.#clock.nowMs();
    return [...this.#nodes.values()].map(({ nodeId, configurationVersion, heardAtMs }) => ({
      nodeId,
      version: configurationVersion,
      ageMs: Math.round(nowMs - heardAtMs),
    }));
  }

  dumpState(): unknown {
    const nowMs = this.#clock.nowMs();
    return {
      own: this.own,
      liveInDomain: this.listDomainNodes(),
      heard: [...this.#nodes.values()].map(({ heardAtMs, demand, ...node }) => ({
        ...node,
        modelsInDemand: demand.length,
        ageMs: Math.round(nowMs - heardAtMs),
      })),
    };
  }

  #listReceived(maxHeartbeatAgeMs: number): readonly NodeView[] {
    const nowMs = this.#clock.nowMs();
    return [...this.#nodes.values()].filter((node) => nowMs - node.heardAtMs <= maxHeartbeatAgeMs);
  }

  #dropOldest(): void {
    const [oldest] = this.#nodes.keys();
    this.#nodes.delete(oldest);
  }
}
