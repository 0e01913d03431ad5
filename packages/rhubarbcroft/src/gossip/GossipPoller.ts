/**
 * Requests snapshots from a few peers at a time, round robin, while this node does not receive the store's
 * changes: at a start during an outage, when the store rejects this node, or when the path to it is cut.
 */
import type Logger from 'bunyan';
import type Clock from '../supervision/Clock.js';
import PeriodicTask from '../supervision/PeriodicTask.js';
import type GossipSnapshot from './GossipSnapshot.js';
import type GossipState from './GossipState.js';
import requestSnapshot from './requestSnapshot.js';

/** A configuration must be in force within 3 s of its change; several rounds of requests fit into that time. */
const ROUND_PERIOD_MS = 500;
const REQUEST_TIMEOUT_MS = 400;
/** Peers polled in one round, in parallel, so that one that is down or cut off does not delay the other. */
const PEERS_PER_ROUND = 2;

export default class GossipPoller extends PeriodicTask {
  override readonly name = 'knowledge-seeker';

  readonly #state: GossipState;

  readonly #log: Logger;

  #nextIndex = 0;

  constructor(state: GossipState, clock: Clock, log: Logger) {
    super(clock, ROUND_PERIOD_MS);
    this.#state = state;
    this.#log = log;
  }

  protected override async runOnce(): Promise<void> {
    const { nodes } = this.#state;
    if (this.#state.isCurrent || nodes.length === 0) {
      return;
    }
    const count = Math.min(PEERS_PER_ROUND, nodes.length);
    const addresses = Array.from(
      { length: count },
      (_unused, index) => nodes[(this.#nextIndex + index) % nodes.length],
    );
    this.#nextIndex += count;
    await Promise.all(addresses.map((address) => this.#pollPeer(address)));
  }

  async #pollPeer(address: string): Promise<void> {
    const request = this.#state.createSnapshotRequest();
    const snapshot = await requestSnapshot(address, request, REQUEST_TIMEOUT_MS);
    if (snapshot === undefined) {
      this.#log.debug(
        { peer: address },
        'peer returned no gossip snapshot; trying again in the next round',
      );
    } else {
      this.#merge(address, snapshot);
    }
  }

  #merge(address: string, snapshot: GossipSnapshot): void {
    try {
      if (this.#state.mergeSnapshot(snapshot)) {
        const { routingVersion, instancesVersion } = this.#state.createSnapshotRequest();
        this.#log.info(
          { peer: address, routingVersion, instancesVersion },
          'adopted newer routing or instances from a peer',
        );
      }
    } catch (error) {
      this.#log.warn(
        { peer: address, reason: (error as Error).message },
        'received a malformed gossip snapshot; trying other peers in the next round',
      );
    }
  }
}
