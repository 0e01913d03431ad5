/** What becomes of the rows of a feed. */
import type FeedPage from './FeedPage.js';

abstract class FeedConsumer<Value> {
  /** Takes the whole table: what is not on the page does not exist at its version. */
  abstract replaceAll(page: FeedPage<Value>): void;

  /** Takes the changes since the last page. */
  abstract applyChanges(page: FeedPage<Value>): void;

  /** The feed has failed: rows may vanish without meaning until it has been back for a while. */
  abstract noteOutage(): void;

  /** The feed answers again after a failure. */
  abstract noteReturn(): void;
}

export default FeedConsumer;
