/**
 * The task that follows one table of the store: list it, then wait for changes from there on. After a
 * failure it lists anew: a listing is answered at once, so that the return of the store is noticed then and
 * not only with the next change; it does so too when the store has dropped the history.
 */
import type Logger from 'bunyan';
import type Clock from '../supervision/Clock.js';
import Task from '../supervision/Task.js';
import type ChangeFeed from './ChangeFeed.js';
import type FeedConsumer from './FeedConsumer.js';

/**
 * First and longest pause between calls that fail: the store bounds calls, and all of them are priced. Its
 * return is noticed in less than the time (4 s) after which a node counts as in touch with it again.
 */
const RETRY_MIN_MS = 200;
const RETRY_MAX_MS = 2_000;
/**
 * The least time between two calls that bring changes: in a burst of changes one call brings many, and what
 * is known a second later is still in force well within the platform's bounds (3 s).
 */
const MIN_SPACING_MS = 1_000;

export default class FeedReader<Value> extends Task {
  override readonly name: string;

  readonly #feed: ChangeFeed<Value>;

  readonly #consumer: FeedConsumer<Value>;

  readonly #clock: Clock;

  readonly #log: Logger;

  #version: number | undefined;

  #calledAtMs = -Infinity;

  #failingSinceMs: number | undefined;

  constructor(feed: ChangeFeed<Value>, consumer: FeedConsumer<Value>, clock: Clock, log: Logger) {
    super();
    this.name = `feed ${feed.name}`;
    this.#feed = feed;
    this.#consumer = consumer;
    this.#clock = clock;
    this.#log = log;
  }

  /** Whether the last call was answered. */
  get isHealthy(): boolean {
    return this.#version !== undefined && this.#failingSinceMs === undefined;
  }

  override async run(signal: AbortSignal): Promise<void> {
    let retryMs = RETRY_MIN_MS;
    while (!signal.aborted) {
      const answered =
        this.#version === undefined || this.#failingSinceMs !== undefined
          ? await this.#list(signal)
          : await this.#follow(this.#version, signal);
      if (answered) {
        retryMs = RETRY_MIN_MS;
      } else {
        await this.#clock.sleep(retryMs, signal);
        retryMs = Math.min(retryMs * 2, RETRY_MAX_MS);
      }
    }
  }

  override dumpState(): unknown {
    return { version: this.#version ?? null, healthy: this.isHealthy };
  }

  async #list(signal: AbortSignal): Promise<boolean> {
    const page = await this.#feed.list(signal);
    if (page.isErr) {
      this.#noteFailure(page.error.detail, signal);
      return false;
    }
    this.#noteAnswer();
    this.#version = page.value.version;
    this.#consumer.replaceAll(page.value);
    return true;
  }

  async #follow(version: number, signal: AbortSignal): Promise<boolean> {
    const spacingMs = this.#calledAtMs + MIN_SPACING_MS - this.#clock.nowMs();
    if (spacingMs > 0) {
      await this.#clock.sleep(spacingMs, signal);
    }
    this.#calledAtMs = this.#clock.nowMs();
    const page = await this.#feed.waitForChanges(version, signal);
    if (page.isErr) {
      this.#noteFailure(page.error.detail, signal);
      return false;
    }
    this.#noteAnswer();
    if (page.value === 'unsure') {
      this.#version = undefined;
      return true;
    }
    if (page.value === 'expired') {
      this.#log.warn({ feed: this.#feed.name, version }, 'history is gone; listing the table anew');
      this.#version = undefined;
      return true;
    }
    this.#version = Math.max(version, page.value.version);
    this.#consumer.applyChanges(page.value);
    return true;
  }

  #noteFailure(reason: string, signal: AbortSignal): void {
    if (signal.aborted) {
      return;
    }
    this.#consumer.noteOutage();
    if (this.#failingSinceMs === undefined) {
      this.#failingSinceMs = this.#clock.nowMs();
      this.#log.warn({ feed: this.#feed.name, version: this.#version, reason }, 'feed lost');
    }
  }

  #noteAnswer(): void {
    if (this.#failingSinceMs !== undefined) {
      const outageMs = Math.round(this.#clock.nowMs() - this.#failingSinceMs);
      this.#failingSinceMs = undefined;
      this.#consumer.noteReturn();
      this.#log.info({ feed: this.#feed.name, version: this.#version, outageMs }, 'feed regained');
    }
  }
}
