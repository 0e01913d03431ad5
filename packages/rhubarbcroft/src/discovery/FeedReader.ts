/**
 * The task that follows one table of the store: lists it, then waits for changes after the listed version. After
 * a failure it lists the table again: a listing is answered at once, so that the recovery of the store is detected
 * at once and not only with the next change. It also lists again when the store no longer has the history.
 */
import type Logger from 'bunyan';
import type Clock from '../supervision/Clock.js';
import Task from '../supervision/Task.js';
import type ChangeFeed from './ChangeFeed.js';
import type FeedConsumer from './FeedConsumer.js';

/**
 * The first and the longest delay after a failed call: the store limits the rate of calls and charges for each.
 * Its recovery is detected in less than the 4 s after which a node counts as connected to it again.
 */
const RETRY_MIN_MS = 200;
const RETRY_MAX_MS = 2_000;
/**
 * The least time between two waits for changes, so that during a burst one call returns many changes. A change
 * that arrives a second later is still in force well within the platform's limit of 3 s.
 */
const MIN_SPACING_MS = 1_000;

export default class FeedReader<Value> extends Task {
  override readonly name: string;

  readonly #feed: ChangeFeed<Value>;

  readonly #consumer: FeedConsumer<Value>;

  readonly #clock: Clock;

  readonly #log: Logger;

  #version: number | undefined;

  #lastWaitAtMs = -Infinity;

  #failingSinceMs: number | undefined;

  constructor(feed: ChangeFeed<Value>, consumer: FeedConsumer<Value>, clock: Clock, log: Logger) {
    super();
    this.name = `feed ${feed.name}`;
    this.#feed = feed;
    this.#consumer = consumer;
    this.#clock = clock;
    this.#log = log;
  }

  /** Whether the table has been listed and the last call succeeded. */
  get isHealthy(): boolean {
    return this.#version !== undefined && this.#failingSinceMs === undefined;
  }

  override async run(signal: AbortSignal): Promise<void> {
    let retryDelayMs = RETRY_MIN_MS;
    while (!signal.aborted) {
      const succeeded =
        this.#version === undefined || this.#failingSinceMs !== undefined
          ? await this.#list(signal)
          : await this.#waitForChanges(this.#version, signal);
      if (succeeded) {
        retryDelayMs = RETRY_MIN_MS;
      } else {
        await this.#clock.sleep(retryDelayMs, signal);
        retryDelayMs = Math.min(retryDelayMs * 2, RETRY_MAX_MS);
      }
    }
  }

  override dumpState(): unknown {
    return { version: this.#version ?? null, healthy: this.isHealthy };
  }

  async #list(signal: AbortSignal): Promise<boolean> {
    const page = await this.#feed.list(signal);
    if (page.isErr) {
      this.#recordFailure(page.error.detail, signal);
      return false;
    }
    this.#recordSuccess();
    this.#version = page.value.version;
    this.#consumer.replaceAll(page.value);
    return true;
  }

  async #waitForChanges(version: number, signal: AbortSignal): Promise<boolean> {
    const spacingMs = this.#lastWaitAtMs + MIN_SPACING_MS - this.#clock.nowMs();
    if (spacingMs > 0) {
      await this.#clock.sleep(spacingMs, signal);
    }
    this.#lastWaitAtMs = this.#clock.nowMs();
    const page = await this.#feed.waitForChanges(version, signal);
    if (page.isErr) {
      this.#recordFailure(page.error.detail, signal);
      return false;
    }
    this.#recordSuccess();
    if (page.value === 'unsure') {
      this.#version = undefined;
      return true;
    }
    if (page.value === 'expired') {
      this.#log.warn(
        { feed: this.#feed.name, version },
        'store no longer has the changes since this version; listing the whole table',
      );
      this.#version = undefined;
      return true;
    }
    this.#version = Math.max(version, page.value.version);
    this.#consumer.applyChanges(page.value);
    return true;
  }

  #recordFailure(reason: string, signal: AbortSignal): void {
    if (signal.aborted) {
      return;
    }
    this.#consumer.handleOutage();
    if (this.#failingSinceMs === undefined) {
      this.#failingSinceMs = this.#clock.nowMs();
      this.#log.warn(
        { feed: this.#feed.name, version: this.#version, reason },
        'reading the feed failed; retrying until the store answers',
      );
    }
  }

  #recordSuccess(): void {
    if (this.#failingSinceMs !== undefined) {
      const outageMs = Math.round(this.#clock.nowMs() - this.#failingSinceMs);
      this.#failingSinceMs = undefined;
      this.#consumer.handleRecovery();
      this.#log.info(
        { feed: this.#feed.name, version: this.#version, outageMs },
        'feed recovered; the store answers again',
      );
    }
  }
}
