/** A table of the platform's store that can be listed and then watched from a version on. */
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type FeedPage from './FeedPage.js';

abstract class ChangeFeed<Value> {
  abstract readonly name: string;

  abstract list(signal: AbortSignal): Promise<Result<FeedPage<Value>, Failure>>;

  /**
   * Waits for changes after a version; the page is empty when none came in time. Resolves with
   * `expired` when the store no longer has the history from there, and with `unsure` when changes may have
   * been missed; either way the table must be listed. A short wait shows sooner that the store is away.
   */
  abstract waitForChanges(
    afterVersion: number,
    signal: AbortSignal,
    wait?: 'short' | 'long',
  ): Promise<Result<FeedPage<Value> | 'expired' | 'unsure', Failure>>;
}

export default ChangeFeed;
