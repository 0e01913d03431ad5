/**
 * Relays the event streams of one request's attempts to the caller as a single stream: the head of the first,
 * then complete events as they are received. When a stream breaks, the caller has received only complete events,
 * so that another attempt can resume after the last one.
 */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import EventSplitter from './EventSplitter.js';
import copyAnswerHeaders from './copyAnswerHeaders.js';

interface StreamHead {
  readonly status: number;
  readonly rawHeaders: readonly string[];
}

export default class StreamRelay {
  readonly #response: ServerResponse;

  readonly #splitter = new EventSplitter();

  #eventBytes = 0;

  #handleFirstEvent: (() => void) | undefined;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /** Whether the head of an answer has been sent to the caller, so that the status can no longer change. */
  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  /** Whether any complete event has been relayed. */
  get hasEvents(): boolean {
    return this.#eventBytes > 0;
  }

  /** The id of the last complete event; undefined when no event had an id. */
  get lastEventId(): string | undefined {
    return this.#splitter.lastEventId;
  }

  /** Calls `listener` once, with the first event that has data. */
  onFirstEvent(listener: () => void): void {
    this.#handleFirstEvent = listener;
  }

  /** Sends the head of the first answer; the heads of later attempts are ignored. */
  begin({ status, rawHeaders }: StreamHead): void {
    if (!this.#response.headersSent) {
      this.#response.writeHead(status, copyAnswerHeaders(rawHeaders));
      this.#response.flushHeaders();
    }
  }

  /**
   * Relays a body and calls `onProgress` for each chunk that completes an event with data: bytes inside an event
   * and comments are no progress. Throws when the body is truncated or an event is too large.
   */
  async relay(body: AsyncIterable<Buffer>, onProgress: () => void): Promise<void> {
    this.#splitter.discardPartialEvent();
    for await (const chunk of body) {
      const countBefore = this.#splitter.dataEvents;
      const events = this.#splitter.push(chunk);
      if (events.length > 0 && this.#response.writable) {
        this.#eventBytes += events.length;
        if (!this.#response.write(events)) {
          await Promise.race([once(this.#response, 'drain'), once(this.#response, 'close')]);
        }
      }
      if (this.#splitter.dataEvents > countBefore) {
        this.#handleFirstEvent?.();
        this.#handleFirstEvent = undefined;
        onProgress();
      }
    }
    if (!this.#splitter.isAtEventBoundary) {
      throw new Error('the stream ended in the middle of an event');
    }
  }

  end(): void {
    this.#response.end();
  }

  /** Destroys the connection of a stream that cannot be finished, so that it does not look complete. */
  cut(): void {
    this.#response.destroy();
  }
}
