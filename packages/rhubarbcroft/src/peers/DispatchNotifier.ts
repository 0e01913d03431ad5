/** Sends the peers the requests that this node dispatched to endpoints. */
import type PeerMessage from '@rhubarbcroft/protocol/peers/PeerMessage';
import type Clock from '../supervision/Clock.js';
import BatchNotifier from './BatchNotifier.js';
import type DispatchNotice from './DispatchNotice.js';

const BATCH_PERIOD_MS = 50;

export default class DispatchNotifier extends BatchNotifier<DispatchNotice> {
  override readonly name = 'send-notifier';

  readonly #broadcast: (message: PeerMessage) => void;

  constructor(clock: Clock, broadcast: (message: PeerMessage) => void) {
    super(clock, BATCH_PERIOD_MS);
    this.#broadcast = broadcast;
  }

  protected override send(notices: readonly DispatchNotice[]): void {
    const nowMs = this.clock.nowMs();
    const sends = notices.map(({ endpointId, rank, promptTokens, sentAtMs }) => ({
      endpointId,
      rank,
      promptTokens,
      ageMs: Math.round(nowMs - sentAtMs),
    }));
    this.#broadcast({ type: 'sends', sends });
  }
}
