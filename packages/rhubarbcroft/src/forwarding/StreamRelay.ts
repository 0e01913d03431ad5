/**
 * Relays the event streams of one request's attempts to the caller as a single stream: the head of the first,
 * then complete events as they are received. When a stream breaks, the caller has received only complete events,
 * so that another attempt can resume after the last one.
 */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import type Holding from '../callers/Holding.js';
import EventSequence from './EventSequence.js';
import EventSplitter from './EventSplitter.js';
import copyAnswerHeaders from './copyAnswerHeaders.js';

interface StreamHead {
  readonly status: number;
  readonly rawHeaders: readonly string[];
}

interface RelayProgress {
  /** Called for each chunk that completes an event with data: bytes inside an event and comments are no progress. */
  readonly advance: () => void;
  /** Called when the relay waits for the caller to read; nothing is expected of the endpoint until `resume`. */
  readonly pause: () => void;
  readonly resume: () => void;
}

export default class StreamRelay {
  readonly #response: ServerResponse;

  readonly #holding: Holding | undefined;

  readonly #splitter = new EventSplitter();

  readonly #sequence = new EventSequence();

  #eventBytes = 0;

  /** The instance of the attempt that uses the relay; undefined before the first. */
  instanceId: string | undefined;

  #handleFirstEvent: (() => void) | undefined;

  constructor(response: ServerResponse, holding?: Holding) {
    this.#response = response;
    this.#holding = holding;
  }

  /** Whether the head of an answer has been sent to the caller, so that the status can no longer change. */
  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  /** Whether any complete event has been relayed. */
  get hasEvents(): boolean {
    return this.#eventBytes > 0;
  }

  /** The id of the last relayed event; undefined when no event had an id. */
  get lastEventId(): string | undefined {
    return this.#sequence.lastId;
  }

  /** Makes room for bytes of an answer that is read whole. Throws when the process can hold no more. */
  reserve(bytes: number): void {
    if (this.#holding?.reserve(bytes) === false) {
      throw new Error('the process can hold no more bytes for callers');
    }
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
   * Relays a body and reports its progress. Throws when the body is truncated, an event is too large, or the events do
   * not continue those of earlier attempts.
   */
  async relay(body: AsyncIterable<Buffer>, progress: RelayProgress): Promise<void> {
    this.#splitter.discardPartialEvent();
    this.#sequence.beginAttempt();
    for await (const chunk of body) {
      const countBefore = this.#splitter.dataEvents;
      const events = this.#splitter.push(chunk);
      this.#sequence.add(events);
      if (events.length > 0 && this.#response.writable) {
        this.#eventBytes += events.length;
        if (!this.#response.write(events)) {
          progress.pause();
          await this.#waitForCaller();
          progress.resume();
        }
      }
      if (this.#splitter.dataEvents > countBefore) {
        this.#handleFirstEvent?.();
        this.#handleFirstEvent = undefined;
        progress.advance();
      }
    }
    if (!this.#splitter.isAtEventBoundary) {
      throw new Error('the stream ended in the middle of an event');
    }
    if (this.#sequence.awaitsEvent) {
      throw new Error('the resumed stream ended without an event');
    }
  }

  /** Waits until the caller has read what was written, or has closed the connection. */
  async #waitForCaller(): Promise<void> {
    const settled = new AbortController();
    const { signal } = settled;
    await Promise.race([
      once(this.#response, 'drain', { signal }),
      once(this.#response, 'close', { signal }),
    ]).finally(() => settled.abort());
  }

  /** What the request waits for, and where, for the log of open requests. */
  dumpState(): { readonly phase: string; readonly instance: string | undefined } {
    return { phase: this.hasBegun ? 'streaming' : 'waiting', instance: this.instanceId };
  }

  end(): void {
    this.#response.end();
  }

  /** Destroys the connection of a stream that cannot be finished, so that it does not look complete. */
  cut(): void {
    this.#response.destroy();
  }
}
