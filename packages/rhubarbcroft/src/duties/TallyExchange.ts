/** Collects the tallies of all nodes and answers them with what this node knows of the duties. */
import type Logger from 'bunyan';
import type Metrics from '../telemetry/Metrics.js';
import type HolderView from './HolderView.js';
import type Tally from './Tally.js';
import type TallyBook from './TallyBook.js';
import TallyReceiver from './TallyReceiver.js';
import type TallyReply from './TallyReply.js';
import type TrueTime from './TrueTime.js';

interface TallyExchangeOptions {
  readonly book: TallyBook;
  readonly view: HolderView;
  readonly time: TrueTime;
  /** Aborts when the node starts to shut down. */
  readonly shutdown: AbortSignal;
  readonly log: Logger;
  readonly metrics: Metrics;
}

export default class TallyExchange extends TallyReceiver {
  readonly #options: TallyExchangeOptions;

  constructor(options: TallyExchangeOptions) {
    super();
    this.#options = options;
  }

  override receive(tally: Tally): TallyReply {
    const { book, view, time, shutdown } = this.#options;
    time.observe(tally.node, tally.unixMs);
    this.merge(tally);
    return {
      holder: view.holder,
      leaseVersion: view.version,
      unixMs: time.unixMs(),
      isLeaving: shutdown.aborted,
      fixedWindow: book.fixedWindow,
    };
  }

  /** Adds a tally to the book, and reports the counts that came too late. */
  merge(tally: Tally): void {
    const { book, log, metrics } = this.#options;
    const lost = book.merge(tally);
    if (lost > 0) {
      metrics.increment('usage_lost', { cause: 'late' });
      log.warn(
        { peer: tally.node, requests: lost },
        'usage lost: the counts arrived after their window had been fixed',
      );
    }
  }
}
