/** Applies the routing documents received from the store's feed. */
import type Logger from 'bunyan';
import FeedConsumer from '../discovery/FeedConsumer.js';
import type FeedPage from '../discovery/FeedPage.js';
import type RoutingDocument from './RoutingDocument.js';
import type CurrentRouting from './CurrentRouting.js';

export default class RoutingConsumer extends FeedConsumer<RoutingDocument> {
  readonly #routing: CurrentRouting;

  readonly #log: Logger;

  constructor(routing: CurrentRouting, log: Logger) {
    super();
    this.#routing = routing;
    this.#log = log;
  }

  /** A document that is missing from a listing stays in force, since configurations are replaced but never removed. */
  override replaceAll(page: FeedPage<RoutingDocument>): void {
    this.applyChanges(page);
  }

  override applyChanges(page: FeedPage<RoutingDocument>): void {
    page.rows.forEach(({ value }) => {
      if (value !== undefined && this.#routing.accept(value)) {
        const { version, routes, accounts } = value;
        this.#log.info(
          { version, routes: routes.length, accounts: accounts?.length },
          'routing document in force',
        );
      }
    });
  }

  override handleOutage(): void {}

  override handleRecovery(): void {}
}
