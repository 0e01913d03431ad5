/**
 * Requests snapshots from a few peers at a time while this node does not receive the store's changes: at a start during
 * an outage, when the store rejects this node, or when the path to it is cut. A node that follows the store through a
 * leader asks the leader itself for a routing document that the store does not give it in time.
 */
import type Logger from 'bunyan';
import type Clock from '../supervision/Clock.js';
import PeriodicTask from '../supervision/PeriodicTask.js';
import type GossipSnapshot from './GossipSnapshot.js';
import type GossipState from './GossipState.js';
import type LeaderLink from './LeaderLink.js';
import PeerRotation from './PeerRotation.js';
import requestSnapshot from './requestSnapshot.js';

/** A configuration must be in force within 3 s of its change; several rounds of requests fit into that time. */
const ROUND_PERIOD_MS = 500;
const REQUEST_TIMEOUT_MS = 400;

type Leader = Pick<LeaderLink, 'address' | 'routingVersion'>;

export default class GossipPoller extends PeriodicTask {
  override readonly name = 'knowledge-seeker';

  readonly #state: GossipState;

  readonly #log: Logger;

  readonly #leader: Leader;

  readonly #rotation: PeerRotation;

  /** Whether the leader had a newer routing document than this node in the last round. */
  #wasBehind = false;

  constructor(state: GossipState, leader: Leader, clock: Clock, log: Logger) {
    super(clock, ROUND_PERIOD_MS);
    this.#state = state;
    this.#leader = leader;
    this.#rotation = new PeerRotation(state.address);
    this.#log = log;
  }

  protected override async runOnce(): Promise<void> {
    const addresses = this.#state.isCurrent
      ? this.#chooseLeader()
      : this.#rotation.choose(this.#state.nodes);
    // In parallel, so that a peer that is down or cut off does not delay the others.
    await Promise.all(addresses.map((address) => this.#pollPeer(address)));
  }

  /** The leader if it has had a newer routing document for a whole round, in which the store should have given it. */
  #chooseLeader(): readonly string[] {
    const { address, routingVersion } = this.#leader;
    const isBehind = routingVersion > this.#state.createSnapshotRequest().routingVersion;
    const isLate = isBehind && this.#wasBehind;
    this.#wasBehind = isBehind;
    return isLate && address !== undefined ? [address] : [];
  }

  async #pollPeer(address: string): Promise<void> {
    const request = this.#state.createSnapshotRequest();
    const snapshot = await requestSnapshot(address, request, REQUEST_TIMEOUT_MS);
    this.#rotation.recordAnswer(address, snapshot?.isCurrent === true);
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
