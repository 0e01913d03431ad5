/** Receives the rows of a feed and the outages of the store. */
import type FeedPage from './FeedPage.js';

abstract class FeedConsumer<Value> {
  /** Applies a listing of the whole table: a row that is not on the page does not exist at its version. */
  abstract replaceAll(page: FeedPage<Value>): void;

  /** Applies the changes since the last page. */
  abstract applyChanges(page: FeedPage<Value>): void;

  /**
   * Called when the store is found to be away: a listing failed. Until the store has been back for some time, a missing
   * row does not mean that it was removed.
   */
  abstract handleOutage(): void;

  /** Called when the store answers again after it was away. */
  abstract handleRecovery(): void;
}

export default FeedConsumer;
