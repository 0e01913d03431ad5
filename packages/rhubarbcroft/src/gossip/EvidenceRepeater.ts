/**
 * Repeats the crash reports to one peer after the other while there are any, so that a node that was cut off or has
 * just started knows which prompt parts are held. It also shows them in the state dump.
 */
import type Clock from '../supervision/Clock.js';
import PeriodicTask from '../supervision/PeriodicTask.js';
import type EndpointNotifier from './EndpointNotifier.js';
import type EvidenceExchange from './EvidenceExchange.js';

const REPEAT_PERIOD_MS = 1_000;

export default class EvidenceRepeater extends PeriodicTask {
  override readonly name = 'evidence-repeater';

  readonly #notifier: EndpointNotifier;

  readonly #evidence: EvidenceExchange;

  constructor(notifier: EndpointNotifier, evidence: EvidenceExchange, clock: Clock) {
    super(clock, REPEAT_PERIOD_MS);
    this.#notifier = notifier;
    this.#evidence = evidence;
  }

  override dumpState(): unknown {
    return this.#evidence.dumpState();
  }

  protected override async runOnce(): Promise<void> {
    this.#notifier.repeatEvidence();
  }
}
