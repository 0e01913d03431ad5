/**
 * Applies the messages of peers to this node: heartbeats to the directory, load reports and dispatched requests
 * to the states of the endpoints, drains and crashes to their registers. Puts newer fleet documents into force.
 */
import parseFleetDocument from '@rhubarbcroft/protocol/fleet/parseFleetDocument';
import type PeerMessage from '@rhubarbcroft/protocol/peers/PeerMessage';
import type Logger from 'bunyan';
import type CurrentFleet from '../configuration/CurrentFleet.js';
import type CrashEvidence from '../decisions/poison/CrashEvidence.js';
import type PoisonTracker from '../decisions/poison/PoisonTracker.js';
import type EndpointRegistry from '../endpoints/EndpointRegistry.js';
import type DrainRegistry from '../membership/DrainRegistry.js';
import type NodeDirectory from '../membership/NodeDirectory.js';
import PeerHandler from '../peers/PeerHandler.js';
import type Clock from '../supervision/Clock.js';

interface HandlerOptions {
  readonly directory: NodeDirectory;
  readonly currentFleet: CurrentFleet;
  readonly registry: EndpointRegistry;
  readonly drains: DrainRegistry;
  readonly poison: PoisonTracker;
  readonly clock: Clock;
  readonly log: Logger;
  readonly createHeartbeat: () => PeerMessage;
}

type Message<Type extends PeerMessage['type']> = Extract<PeerMessage, { readonly type: Type }>;
type Reply = (message: PeerMessage) => void;

export default class NodePeerHandler extends PeerHandler {
  readonly #options: HandlerOptions;

  constructor(options: HandlerOptions) {
    super();
    this.#options = options;
  }

  override createInitialMessages(): readonly PeerMessage[] {
    const { drains, poison, createHeartbeat } = this.#options;
    const heartbeat = createHeartbeat();
    const greeting: PeerMessage[] = [heartbeat];
    if (drains.list().length > 0) {
      greeting.push({ type: 'drains', drains: drains.list() });
    }
    if (poison.list().length > 0) {
      greeting.push(this.createCrashMessage(poison.list()));
    }
    return greeting;
  }

  /** Creates a message from crash evidence. Times are sent as ages, since clocks of two VMs are not comparable. */
  createCrashMessage(evidence: readonly CrashEvidence[]): PeerMessage {
    const nowMs = this.#options.clock.nowMs();
    const crashes = evidence.map(({ atMs, ...crash }) => ({ ...crash, ageMs: nowMs - atMs }));
    return { type: 'crashes', crashes };
  }

  override handle(message: PeerMessage, reply: Reply): void {
    switch (message.type) {
      case 'heartbeat':
        this.#acceptHeartbeat(message, reply);
        break;
      case 'loads':
        this.#acceptLoads(message);
        break;
      case 'sends':
        this.#acceptDispatches(message);
        break;
      case 'drains':
        message.drains.forEach((drain) => this.#options.drains.record(drain));
        break;
      case 'crashes':
        this.#acceptCrashes(message);
        break;
      case 'crashCleared':
        this.#options.poison.clear(message.fingerprint);
        break;
      case 'configurationRequest':
        this.#answerConfiguration(message, reply);
        break;
      case 'configuration':
        this.#acceptConfiguration(message);
        break;
      default:
        break;
    }
  }

  #acceptHeartbeat(heartbeat: Message<'heartbeat'>, reply: Reply): void {
    const { directory, currentFleet, createHeartbeat } = this.#options;
    directory.record(heartbeat);
    if (heartbeat.configurationVersion > currentFleet.version) {
      reply({ type: 'configurationRequest', knownVersion: currentFleet.version });
    }
    if (heartbeat.isReply !== true) {
      reply({ ...(createHeartbeat() as Message<'heartbeat'>), isReply: true });
    }
  }

  #acceptLoads({ reports }: Message<'loads'>): void {
    const { registry, clock } = this.#options;
    reports.forEach((report) =>
      registry.get(report.endpointId)?.state.offerReport(report, clock.nowMs()),
    );
  }

  #acceptDispatches({ sends }: Message<'sends'>): void {
    const { registry, clock } = this.#options;
    const nowMs = clock.nowMs();
    sends.forEach(({ endpointId, rank, promptTokens, ageMs }) =>
      registry
        .get(endpointId)
        ?.state.recordPeerDispatch({ rank, promptTokens, sentAtMs: nowMs - ageMs }),
    );
  }

  #acceptCrashes({ crashes }: Message<'crashes'>): void {
    const { poison, clock } = this.#options;
    const nowMs = clock.nowMs();
    crashes.forEach(({ ageMs, ...crash }) => poison.add({ ...crash, atMs: nowMs - ageMs }));
  }

  #answerConfiguration({ knownVersion }: Message<'configurationRequest'>, reply: Reply): void {
    const fleet = this.#options.currentFleet.current;
    if (fleet !== undefined && fleet.version > knownVersion) {
      reply({ type: 'configuration', fleet: { version: fleet.version, document: fleet.document } });
    }
  }

  /** A peer's document is validated like an operator's before it comes into force. */
  #acceptConfiguration({ fleet }: Message<'configuration'>): void {
    const { currentFleet, log } = this.#options;
    const document = parseFleetDocument(fleet.document);
    if (document.isErr) {
      log.warn(
        { failure: document.error },
        'fleet document from a peer is invalid; keeping the one in force',
      );
      return;
    }
    if (currentFleet.applyIfNewer({ version: fleet.version, document: document.value })) {
      log.info(
        { version: fleet.version, from: 'peer' },
        'newer fleet document from a peer is in force',
      );
    }
  }
}
