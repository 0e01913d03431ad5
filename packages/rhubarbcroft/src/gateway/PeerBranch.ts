/** The branch of the supervisor tree that exchanges knowledge with the other nodes. */
import type Logger from 'bunyan';
import EndpointNotifier from '../gossip/EndpointNotifier.js';
import type EvidenceExchange from '../gossip/EvidenceExchange.js';
import EvidenceRepeater from '../gossip/EvidenceRepeater.js';
import GossipConnection from '../gossip/GossipConnection.js';
import GossipPoller from '../gossip/GossipPoller.js';
import type GossipState from '../gossip/GossipState.js';
import type LeaderLink from '../gossip/LeaderLink.js';
import NodeAnnouncer from '../gossip/NodeAnnouncer.js';
import type NodeList from '../gossip/NodeList.js';
import NoticeRelay from '../gossip/NoticeRelay.js';
import SocketListener from '../peers/SocketListener.js';
import type Clock from '../supervision/Clock.js';
import Supervisor from '../supervision/Supervisor.js';
import type Metrics from '../telemetry/Metrics.js';
import type GatewaySettings from './GatewaySettings.js';

interface PeerBranchOptions {
  readonly settings: GatewaySettings;
  readonly nodes: NodeList;
  readonly state: GossipState;
  readonly leader: LeaderLink;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Peers that connect at once when a fleet of the size that the system is designed for starts during an outage. */
const MAX_PEER_CONNECTIONS = 340;

export default class PeerBranch {
  readonly #options: PeerBranchOptions;

  readonly #supervisor: Supervisor;

  readonly #relay: NoticeRelay;

  /** Reports to the peers. */
  readonly notifier: EndpointNotifier;

  constructor(options: PeerBranchOptions) {
    this.#options = options;
    const { state, clock, log } = options;
    this.#supervisor = new Supervisor('peers', clock, log);
    this.#relay = new NoticeRelay({ ...options, supervisor: this.#supervisor });
    this.notifier = new EndpointNotifier(state, this.#supervisor, clock, this.#relay);
  }

  /** Declares the tasks of the branch and returns its supervisor. */
  build(evidence: EvidenceExchange): Supervisor {
    const { settings, nodes, state, leader, clock, log } = this.#options;
    const { peerAddress: address, domain } = settings;
    this.notifier.setEvidence(evidence);
    return this.#supervisor.declareChildren(
      new SocketListener({
        name: 'knowledge-listener',
        address,
        maxConnections: MAX_PEER_CONNECTIONS,
        supervisor: this.#supervisor,
        createTask: (socket) => new GossipConnection(socket, state, log, this.#relay),
      }),
      this.notifier,
      this.#relay,
      new EvidenceRepeater(this.notifier, evidence, state, clock),
      leader,
      new GossipPoller(state, leader, clock, log),
      new NodeAnnouncer(nodes, state, { node: { address, domain }, clock, log }),
    );
  }
}
