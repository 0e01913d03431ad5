/** Sets up the connections of this node with its peers and publishes its state to them. */
import type PeerMessage from '@rhubarbcroft/protocol/peers/PeerMessage';
import type LoadReport from '@rhubarbcroft/protocol/fleet/LoadReport';
import type CrashEvidence from '../decisions/poison/CrashEvidence.js';
import type PeerContext from '../peers/PeerContext.js';
import PeerKey from '../peers/PeerKey.js';
import PeerConnection from '../peers/PeerConnection.js';
import SocketListener from '../peers/SocketListener.js';
import PeerTraffic from '../peers/PeerTraffic.js';
import LoadNotifier from '../peers/LoadNotifier.js';
import DispatchNotifier from '../peers/DispatchNotifier.js';
import type DispatchNotice from '../peers/DispatchNotice.js';
import PeerNetwork from '../peers/PeerNetwork.js';
import Supervisor from '../supervision/Supervisor.js';
import NodePeerHandler from './NodePeerHandler.js';
import type NodeParts from './NodeParts.js';

type ModelDemand = ReturnType<NodeParts['demand']['list']>[number];

/** Exceeds the largest supported number of nodes, with a connection in each direction during a reconnect. */
const MAX_PEER_CONNECTIONS = 512;

/** Rounds to whole tokens: peers do not need fractions, which would make messages longer. */
function roundDemand({ model, promptTokensPerS, outputTokensPerS }: ModelDemand): ModelDemand {
  return {
    model,
    promptTokensPerS: Math.round(promptTokensPerS),
    outputTokensPerS: Math.round(outputTokensPerS),
  };
}

export default class PeerSubsystem {
  readonly supervisor: Supervisor;

  readonly traffic = new PeerTraffic();

  readonly #parts: NodeParts;

  readonly #handler: NodePeerHandler;

  readonly #network: PeerNetwork;

  readonly #dispatchNotifier: DispatchNotifier;

  readonly #loadNotifier: LoadNotifier;

  /** Resolves once the peer address is bound. */
  readonly bound: Promise<void>;

  constructor(parts: NodeParts) {
    const { settings, clock, log, metrics, directory } = parts;
    const createHeartbeat = (): PeerMessage => this.#createHeartbeat();
    this.#parts = parts;
    let resolveBound = (): void => undefined;
    this.bound = new Promise((resolve) => {
      resolveBound = resolve;
    });
    this.#handler = new NodePeerHandler({ ...parts, createHeartbeat });
    const context: PeerContext = {
      directory,
      key: new PeerKey(settings.peers),
      handler: this.#handler,
      clock,
      log,
      metrics,
      traffic: this.traffic,
      heartbeatMs: settings.peers.heartbeatMs,
      maxFrameBytes: settings.peers.maxFrameBytes,
      bound: this.bound,
      onBound: resolveBound,
    };
    this.supervisor = new Supervisor('peers', clock, log);
    this.supervisor.declareChildren(
      new SocketListener({
        name: 'peer-listener',
        address: settings.peers.address,
        maxConnections: MAX_PEER_CONNECTIONS,
        supervisor: this.supervisor,
        createTask: (socket) => new PeerConnection(context, socket),
        onBound: context.onBound,
      }),
    );
    this.#network = new PeerNetwork(settings.peers.seeds, context, createHeartbeat);
    this.#network.declareLinks(this.supervisor);
    this.#dispatchNotifier = new DispatchNotifier(clock, (message) =>
      this.#network.broadcast(message),
    );
    this.#loadNotifier = new LoadNotifier(clock, (message) => this.#network.broadcast(message));
    this.supervisor.declareChildren(this.#dispatchNotifier, this.#loadNotifier);
  }

  publishDispatch(notice: DispatchNotice): void {
    this.#dispatchNotifier.add(notice);
  }

  publishLoad(report: LoadReport): void {
    this.#loadNotifier.add(report);
  }

  publishDrains(): void {
    this.#network.broadcast({ type: 'drains', drains: this.#parts.drains.list() });
  }

  publishCrashes(evidence: readonly CrashEvidence[]): void {
    if (evidence.length > 0) {
      this.#network.broadcast(this.#handler.createCrashMessage(evidence));
    }
  }

  publishCrashCleared(fingerprint: string): void {
    this.#network.broadcast({ type: 'crashCleared', fingerprint });
  }

  publishHeartbeat(): void {
    this.#network.broadcast(this.#createHeartbeat());
  }

  #createHeartbeat(): PeerMessage {
    const { directory, currentFleet, shutdown, demand, clock } = this.#parts;
    return {
      type: 'heartbeat',
      ...directory.own,
      configurationVersion: currentFleet.version,
      leaving: shutdown.aborted,
      demand: demand.list(clock.nowMs()).map(roundDemand),
    };
  }
}
