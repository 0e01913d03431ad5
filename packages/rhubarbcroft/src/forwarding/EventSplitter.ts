/**
 * Splits the bytes of a server-sent-event stream at event boundaries without changing them, and keeps the id
 * of the last complete event, so that a stream which breaks inside an event can be resumed after that one. An
 * event that does not end is an error once it is too large. Each byte is searched once.
 */
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(.*?)\r?$/m;
const DATA_LINE = /^data(:|\r?$)/m;
/** Limit of one event, far above that of any token with its metadata; a node keeps this much for each broken stream. */
const MAX_EVENT_BYTES = 131_072;

/** Offset just after the blank line that ends the last event completed by bytes from `start`; 0 without one. */
function findLastEventEnd(bytes: Buffer, start: number): number {
  for (let at = bytes.length - 1; at >= Math.max(1, start); at -= 1) {
    if (bytes[at] === LINE_FEED) {
      const before = bytes[at - 1] === CARRIAGE_RETURN ? at - 2 : at - 1;
      if (before >= 0 && bytes[before] === LINE_FEED) {
        return at + 1;
      }
    }
  }
  return 0;
}

export default class EventSplitter {
  /** The received bytes of the incomplete event. */
  #chunks: Buffer[] = [];

  #partialBytes = 0;

  #lastEventId: string | undefined;

  #dataEvents = 0;

  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** The number of complete events that carried data; comments carry none. */
  get dataEvents(): number {
    return this.#dataEvents;
  }

  /** Whether the bytes received so far end at an event boundary. */
  get isAtEventBoundary(): boolean {
    return this.#partialBytes === 0;
  }

  /**
   * Adds received bytes and returns all pending bytes up to the end of the last complete event. Throws when an
   * event exceeds the size limit.
   */
  push(bytes: Buffer): Buffer {
    // The end of an event has up to four bytes, which may arrive in several chunks.
    const tail = this.#takeTail(4);
    const searched = tail.length === 0 ? bytes : Buffer.concat([tail, bytes]);
    const end = findLastEventEnd(searched, tail.length);
    if (end === 0) {
      this.#keep(searched);
      return Buffer.alloc(0);
    }
    const complete = Buffer.concat([...this.#chunks, searched.subarray(0, end)]);
    this.discardPartialEvent();
    this.#keep(searched.subarray(end));
    complete
      .toString('latin1')
      .split(/\r?\n\r?\n/)
      .forEach((event) => {
        this.#lastEventId = ID_LINE.exec(event)?.[1] ?? this.#lastEventId;
        this.#dataEvents += DATA_LINE.test(event) ? 1 : 0;
      });
    return complete;
  }

  /** Discards an incomplete event, since the resumed stream sends it again in full. */
  discardPartialEvent(): void {
    this.#chunks = [];
    this.#partialBytes = 0;
  }

  #keep(bytes: Buffer): void {
    this.#chunks.push(bytes);
    this.#partialBytes += bytes.length;
    if (this.#partialBytes > MAX_EVENT_BYTES) {
      throw new Error(`an event of the stream is larger than ${MAX_EVENT_BYTES} bytes`);
    }
  }

  /** Removes and returns the last bytes of the incomplete event, `count` or a few more. */
  #takeTail(count: number): Buffer {
    const last: Buffer[] = [];
    let bytes = 0;
    while (bytes < count && this.#chunks.length > 0) {
      const chunk = this.#chunks.pop() as Buffer;
      const kept = chunk.length > count ? chunk.subarray(0, -count) : chunk.subarray(0, 0);
      if (kept.length > 0) {
        this.#chunks.push(kept);
      }
      last.unshift(chunk.subarray(kept.length));
      bytes += chunk.length - kept.length;
    }
    this.#partialBytes -= bytes;
    return Buffer.concat(last);
  }
}
