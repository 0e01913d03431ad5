/** A table of the platform's store that can be listed and then watched for changes after a version. */
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type FeedPage from './FeedPage.js';
import type WaitLimits from './WaitLimits.js';

abstract class ChangeFeed<Value> {
  abstract readonly name: string;

  /** Lists the whole table. */
  abstract list(signal: AbortSignal): Promise<Result<FeedPage<Value>, Failure>>;

  /**
   * Waits for changes after a version; the page is empty when there were none in time. Resolves with `expired`
   * when the store no longer has the history after that version, and with `unsure` when changes may have been
   * missed; in both cases the table must be listed again.
   */
  abstract waitForChanges(
    afterVersion: number,
    limits: WaitLimits,
    signal: AbortSignal,
  ): Promise<Result<FeedPage<Value> | 'expired' | 'unsure', Failure>>;
}

export default ChangeFeed;
