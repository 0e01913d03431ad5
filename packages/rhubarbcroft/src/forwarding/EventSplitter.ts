/**
 * Splits the bytes of a server-sent-event stream at event boundaries without changing them, and keeps the id
 * of the last complete event, so that a stream which breaks inside an event can be resumed after that one.
 */
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(.*?)\r?$/m;

/** Offset just after the blank line that ends the last complete event; 0 when no event is complete. */
function findLastEventEnd(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
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
  #partialEvent: Buffer = Buffer.alloc(0);

  #lastEventId: string | undefined;

  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Whether the bytes received so far end at an event boundary. */
  get isAtEventBoundary(): boolean {
    return this.#partialEvent.length === 0;
  }

  /** Adds received bytes and returns all pending bytes up to the end of the last complete event. */
  push(bytes: Buffer): Buffer {
    const all =
      this.#partialEvent.length === 0 ? bytes : Buffer.concat([this.#partialEvent, bytes]);
    const end = findLastEventEnd(all);
    this.#partialEvent = all.subarray(end);
    const complete = all.subarray(0, end);
    complete
      .toString('latin1')
      .split(/\r?\n\r?\n/)
      .forEach((event) => {
        this.#lastEventId = ID_LINE.exec(event)?.[1] ?? this.#lastEventId;
      });
    return complete;
  }

  /** Discards an incomplete event, since the resumed stream sends it again in full. */
  discardPartialEvent(): void {
    this.#partialEvent = Buffer.alloc(0);
  }
}
