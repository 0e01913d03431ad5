/** Puts the routing documents of the store's feed in force. */
import type Logger from 'bunyan';
import FeedConsumer from '../discovery/FeedConsumer.js';
import type FeedPage from '../discovery/FeedPage.js';
import type RoutingDocument from './RoutingDocument.js';
import type RoutingHolder from './RoutingHolder.js';

export default class RoutingConsumer extends FeedConsumer<RoutingDocument> {
  readonly #holder: RoutingHolder;

  readonly #log: Logger;

  constructor(holder: RoutingHolder, log: Logger) {
    super();
    this.#holder = holder;
    this.#log = log;
  }

  /** A document that is missing from a listing stays in force: configurations are only ever replaced. */
  override replaceAll(page: FeedPage<RoutingDocument>): void {
    this.applyChanges(page);
  }

  override applyChanges(page: FeedPage<RoutingDocument>): void {
    page.rows.forEach(({ value }) => {
      if (value !== undefined && this.#holder.accept(value)) {
        const { version, routes } = value;
        this.#log.info({ version, routes: routes.length }, 'routing document in force');
      }
    });
  }

  override noteOutage(): void {}

  override noteReturn(): void {}
}
