/**
 * Reads an engine's answer from a body of server-sent events.
 *
 * Every event carries the id of its attempt and its offset. An event of another attempt or a gap in the
 * offsets fails the stream, so that a caller never receives parts of another request's answer. A token
 * below the expected offset is dropped as a duplicate.
 */
import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type { Dispatcher } from 'undici';
import type AttemptFailure from './AttemptFailure.js';
import type EngineEvent from './EngineEvent.js';
import EngineStream from './EngineStream.js';
import classifyError from './classifyError.js';

/** The data of one event: a token with its offset, or the final token count. */
interface WireEvent {
  readonly id: string;
  readonly index?: number;
  readonly text?: string;
  readonly done?: number;
}

type Body = Dispatcher.ResponseData['body'];

export default class SseReader extends EngineStream {
  readonly #attemptId: string;

  readonly #body: Body;

  readonly #chunks: AsyncIterator<Buffer>;

  readonly #decoder = new TextDecoder();

  readonly #parser = createParser({ onEvent: (event) => this.#handleEvent(event) });

  #events: EngineEvent[] = [];

  #expectedIndex: number;

  #protocolError: string | undefined;

  constructor(attemptId: string, body: Body, resumeFrom: number) {
    super();
    this.#attemptId = attemptId;
    this.#body = body;
    this.#chunks = body[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
    this.#expectedIndex = resumeFrom;
  }

  override async read(): Promise<Result<readonly EngineEvent[], AttemptFailure>> {
    while (this.#events.length === 0) {
      const failure = await this.#readChunk();
      if (failure !== undefined) {
        return err(failure);
      }
    }
    const events = this.#events;
    this.#events = [];
    return ok(events);
  }

  override close(): void {
    this.#body.on('error', () => undefined);
    this.#body.destroy();
  }

  async #readChunk(): Promise<AttemptFailure | undefined> {
    try {
      const chunk = await this.#chunks.next();
      if (chunk.done === true) {
        return {
          kind: 'broken',
          detail: 'the event stream ended before the final event of the answer',
        };
      }
      this.#parser.feed(this.#decoder.decode(chunk.value, { stream: true }));
    } catch (error) {
      return classifyError(error);
    }
    return this.#protocolError === undefined
      ? undefined
      : { kind: 'broken', detail: this.#protocolError };
  }

  #handleEvent(event: EventSourceMessage): void {
    if (this.#protocolError !== undefined) {
      return;
    }
    const wire = JSON.parse(event.data) as WireEvent;
    if (wire.id !== this.#attemptId) {
      this.#protocolError = `received an event of attempt ${wire.id} on the stream of attempt ${this.#attemptId}`;
    } else if (wire.done !== undefined) {
      this.#handleDone(wire.done);
    } else {
      this.#handleToken(wire.index ?? -1, wire.text ?? '');
    }
  }

  #handleToken(index: number, text: string): void {
    if (index === this.#expectedIndex) {
      this.#events.push({ type: 'token', index, text });
      this.#expectedIndex += 1;
    } else if (index > this.#expectedIndex) {
      this.#protocolError = `received token ${index} where token ${this.#expectedIndex} was expected`;
    }
  }

  #handleDone(tokens: number): void {
    if (tokens === this.#expectedIndex) {
      this.#events.push({ type: 'done', tokens });
    } else {
      this.#protocolError = `the stream ended after ${this.#expectedIndex} of ${tokens} tokens`;
    }
  }
}
