/**
 * Repeats the crash reports to one peer after the other while there are any, so that a node that was cut off or has
 * just started knows which prompt parts are held. A node that starts asks for them, since its peers may not know it yet.
 * The state dump shows them.
 */
import type Clock from '../supervision/Clock.js';
import PeriodicTask from '../supervision/PeriodicTask.js';
import type EndpointNotifier from './EndpointNotifier.js';
import type EvidenceExchange from './EvidenceExchange.js';
import type GossipState from './GossipState.js';
import requestSnapshot from './requestSnapshot.js';

const REPEAT_PERIOD_MS = 1_000;
/** How many peers a node asks after its start, one in each period. */
const START_REQUESTS = 6;
const REQUEST_TIMEOUT_MS = 400;

export default class EvidenceRepeater extends PeriodicTask {
  override readonly name = 'evidence-repeater';

  readonly #notifier: EndpointNotifier;

  readonly #evidence: EvidenceExchange;

  readonly #state: GossipState;

  #requests = 0;

  constructor(
    notifier: EndpointNotifier,
    evidence: EvidenceExchange,
    state: GossipState,
    clock: Clock,
  ) {
    super(clock, REPEAT_PERIOD_MS);
    this.#notifier = notifier;
    this.#evidence = evidence;
    this.#state = state;
  }

  override dumpState(): unknown {
    return this.#evidence.dumpState();
  }

  protected override async runOnce(): Promise<void> {
    this.#notifier.repeatEvidence();
    const { nodes } = this.#state;
    if (this.#requests < START_REQUESTS && nodes.length > 0) {
      const peer = nodes[this.#requests % nodes.length];
      this.#requests += 1;
      const request = this.#state.createSnapshotRequest();
      const snapshot = await requestSnapshot(peer, request, REQUEST_TIMEOUT_MS);
      if (snapshot?.evidence !== undefined) {
        this.#state.mergeEvidence(snapshot.evidence);
      }
    }
  }
}
