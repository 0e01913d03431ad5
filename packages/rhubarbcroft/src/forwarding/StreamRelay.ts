/**
 * Passes event streams to a caller as one: the head of the first, then whole events as they come. A stream
 * that breaks leaves the caller after a whole event, where another may go on.
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

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /** Whether the caller has the head of an answer, so that no other status can be sent. */
  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  get hasEvents(): boolean {
    return this.#eventBytes > 0;
  }

  get lastEventId(): string | undefined {
    return this.#splitter.lastEventId;
  }

  begin({ status, rawHeaders }: StreamHead): void {
    if (!this.#response.headersSent) {
      this.#response.writeHead(status, copyAnswerHeaders(rawHeaders));
      this.#response.flushHeaders();
    }
  }

  /** Passes a body on; `noteProgress` is told of each piece. Throws when the body breaks off. */
  async relay(body: AsyncIterable<Buffer>, noteProgress: () => void): Promise<void> {
    this.#splitter.dropRest();
    for await (const chunk of body) {
      noteProgress();
      const whole = this.#splitter.push(chunk);
      if (whole.length > 0 && this.#response.writable) {
        this.#eventBytes += whole.length;
        if (!this.#response.write(whole)) {
          await Promise.race([once(this.#response, 'drain'), once(this.#response, 'close')]);
        }
      }
    }
    if (!this.#splitter.isBetweenEvents) {
      throw new Error('the stream ended inside an event');
    }
  }

  end(): void {
    this.#response.end();
  }

  /** Ends a stream that cannot be finished, so that it does not look complete. */
  cut(): void {
    this.#response.destroy();
  }
}
