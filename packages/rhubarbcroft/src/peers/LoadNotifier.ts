/** Sends the peers the load reports of the endpoints that this node polls. */
import type LoadReport from '@rhubarbcroft/protocol/fleet/LoadReport';
import type PeerMessage from '@rhubarbcroft/protocol/peers/PeerMessage';
import type Clock from '../supervision/Clock.js';
import BatchNotifier from './BatchNotifier.js';

const BATCH_PERIOD_MS = 100;

export default class LoadNotifier extends BatchNotifier<LoadReport> {
  override readonly name = 'load-notifier';

  readonly #broadcast: (message: PeerMessage) => void;

  constructor(clock: Clock, broadcast: (message: PeerMessage) => void) {
    super(clock, BATCH_PERIOD_MS);
    this.#broadcast = broadcast;
  }

  protected override send(reports: readonly LoadReport[]): void {
    const roundedReports = reports.map((report) => ({
      endpointId: report.endpointId,
      bootId: report.bootId,
      role: report.role,
      changing: report.changing,
      leaving: report.leaving,
      ageMs: Math.round(report.ageMs),
      slots: report.slots,
      prefillTokensPerS: Math.round(report.prefillTokensPerS),
      running: report.running,
      queuedPromptTokens: report.queuedPromptTokens,
      pendingOutputTokens: report.pendingOutputTokens,
    }));
    this.#broadcast({ type: 'loads', reports: roundedReports });
  }
}
