/**
 * Cuts the bytes of a server-sent-event stream after whole events, without changing them, and notes the id
 * of the last one, so that a stream which breaks inside an event can be resumed after the one before.
 */
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(.*?)\r?$/m;

/** Where the last whole event ends: after a blank line. */
function findLastEnd(bytes: Buffer): number {
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
  #rest: Buffer = Buffer.alloc(0);

  #lastEventId: string | undefined;

  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Whether the bytes so far end with a whole event. */
  get isBetweenEvents(): boolean {
    return this.#rest.length === 0;
  }

  /** Takes received bytes and returns those up to the end of the last whole event. */
  push(bytes: Buffer): Buffer {
    const all = this.#rest.length === 0 ? bytes : Buffer.concat([this.#rest, bytes]);
    const end = findLastEnd(all);
    this.#rest = all.subarray(end);
    const whole = all.subarray(0, end);
    whole
      .toString('latin1')
      .split(/\r?\n\r?\n/)
      .forEach((event) => {
        this.#lastEventId = ID_LINE.exec(event)?.[1] ?? this.#lastEventId;
      });
    return whole;
  }

  /** Forgets a part of an event; the resumed stream brings it whole. */
  dropRest(): void {
    this.#rest = Buffer.alloc(0);
  }
}
