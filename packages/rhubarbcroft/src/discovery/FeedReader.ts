/**
 * The task that follows one table of the store: lists it, then waits for changes after the listed version. A wait that
 * fails says nothing about the store, since connections may end or fall silent: the table is listed at once. The store
 * counts as away when the listing fails too; the table is then listed until it succeeds, so that the return of the
 * store is detected at once and not only with the next change. The table is also listed again when the store no longer
 * has the history.
 */
import type Logger from 'bunyan';
import type Clock from '../supervision/Clock.js';
import Task from '../supervision/Task.js';
import type ChangeFeed from './ChangeFeed.js';
import type FeedConsumer from './FeedConsumer.js';
import type FeedTiming from './FeedTiming.js';
import type WaitLimits from './WaitLimits.js';

/**
 * The first and the longest delay after a failed call: the store limits the rate of calls and charges for each.
 * Its recovery is detected in less than the 4 s after which a node counts as connected to it again.
 */
const RETRY_MIN_MS = 200;
const RETRY_MAX_MS = 2_000;
/** The shortest wait that is worth a call. */
const MIN_HOLD_MS = 250;

interface FeedReaderOptions<Value> {
  readonly feed: ChangeFeed<Value>;
  readonly consumer: FeedConsumer<Value>;
  readonly timing: FeedTiming;
  readonly clock: Clock;
  readonly log: Logger;
}

export default class FeedReader<Value> extends Task {
  override readonly name: string;

  readonly #feed: ChangeFeed<Value>;

  readonly #consumer: FeedConsumer<Value>;

  readonly #timing: FeedTiming;

  readonly #clock: Clock;

  readonly #log: Logger;

  #version: number | undefined;

  #lastWaitAtMs = -Infinity;

  /** When the store last answered, which shows that the connection of that call worked until then. */
  #lastAnswerAtMs = -Infinity;

  #failingSinceMs: number | undefined;

  /** Whether a listing has failed since the store last answered. */
  #isStoreAway = false;

  constructor({ feed, consumer, timing, clock, log }: FeedReaderOptions<Value>) {
    super();
    this.name = `feed ${feed.name}`;
    this.#feed = feed;
    this.#consumer = consumer;
    this.#timing = timing;
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
      } else if (this.#isStoreAway) {
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
      this.#recordOutage(signal);
      return false;
    }
    this.#recordSuccess();
    this.#version = page.value.version;
    this.#consumer.replaceAll(page.value);
    return true;
  }

  async #waitForChanges(version: number, signal: AbortSignal): Promise<boolean> {
    const spacingMs = this.#lastWaitAtMs + this.#timing.spacingMs - this.#clock.nowMs();
    if (spacingMs > 0) {
      await this.#clock.sleep(spacingMs, signal);
    }
    this.#lastWaitAtMs = this.#clock.nowMs();
    const page = await this.#feed.waitForChanges(version, this.#limitWait(), signal);
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

  /** The limits of a wait that starts now: a connection that fell silent after the last answer is detected in time. */
  #limitWait(): WaitLimits {
    const { detectMs, answerMs } = this.#timing;
    const elapsedMs = Math.max(0, this.#clock.nowMs() - this.#lastAnswerAtMs);
    const holdMs = Math.round(Math.max(MIN_HOLD_MS, detectMs - answerMs - elapsedMs));
    return { holdMs, timeoutMs: holdMs + answerMs };
  }

  #recordFailure(reason: string, signal: AbortSignal): void {
    if (signal.aborted) {
      return;
    }
    if (this.#failingSinceMs === undefined) {
      this.#failingSinceMs = this.#clock.nowMs();
      this.#log.warn(
        { feed: this.#feed.name, version: this.#version, reason },
        'reading the feed failed; listing the table until the store answers',
      );
    }
  }

  #recordOutage(signal: AbortSignal): void {
    if (signal.aborted) {
      return;
    }
    this.#consumer.handleOutage();
    if (!this.#isStoreAway) {
      this.#isStoreAway = true;
      this.#log.warn(
        { feed: this.#feed.name, version: this.#version },
        'a listing failed too; the store counts as away',
      );
    }
  }

  #recordSuccess(): void {
    this.#lastAnswerAtMs = this.#clock.nowMs();
    if (this.#failingSinceMs !== undefined) {
      const outageMs = Math.round(this.#clock.nowMs() - this.#failingSinceMs);
      this.#failingSinceMs = undefined;
      const wasStoreAway = this.#isStoreAway;
      this.#log.info(
        { feed: this.#feed.name, version: this.#version, outageMs, wasStoreAway },
        'feed recovered; the store answers again',
      );
    }
    if (this.#isStoreAway) {
      this.#isStoreAway = false;
      this.#consumer.handleRecovery();
    }
  }
}
