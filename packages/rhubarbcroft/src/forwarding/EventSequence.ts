/**
 * Checks that the complete events of one request's attempts form a single stream. Each line must be a field or a
 * comment; a field that event streams don't define must stand beside one that they do. So another answer's head or text
 * in a body is detected. Ids must not decrease, and a resumed stream must go on with an event after the last one. Ids
 * only have to increase, so a missing event is not detected.
 */
const FIELD_LINE = /^[\w-]*(?::|$)/;
const DEFINED_FIELD_LINE = /^(?:data|event|id|retry)?(?::|$)/;
const ID_LINE = /^id: ?(.*)$/m;
const DATA_LINE = /^data(?::|$)/m;

/** Below 0 when an id comes before another, 0 when they are the same; ids that are not numbers have no order. */
function compareIds(id: string, other: string): number {
  const difference = Number(id) - Number(other);
  return Number.isNaN(difference) ? Number(id !== other) : difference;
}

export default class EventSequence {
  #lastId: string | undefined;

  #hasData = false;

  #attempts = 0;

  /** Whether the stream of a later attempt has brought no event yet. */
  #awaitsEvent = false;

  /** The id of the last event; undefined when no event had an id. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  get awaitsEvent(): boolean {
    return this.#awaitsEvent;
  }

  /** Begins the stream of the next attempt. */
  beginAttempt(): void {
    this.#awaitsEvent = this.#attempts > 0;
    this.#attempts += 1;
  }

  /** Adds complete events, or throws and adds none when one of them cannot follow those before it. */
  add(events: Buffer): void {
    let lastId = this.#lastId;
    let awaitsEvent = this.#awaitsEvent;
    let hasData = this.#hasData;
    events
      .toString('latin1')
      .replaceAll('\r\n', '\n')
      .split('\n\n')
      .forEach((event) => {
        const lines = event.split('\n');
        const areFields = lines.every((line) => FIELD_LINE.test(line));
        if (!areFields || !lines.some((line) => DEFINED_FIELD_LINE.test(line))) {
          throw new Error('the stream contains a line that is no field of an event');
        }
        const id = ID_LINE.exec(event)?.[1];
        const order = id === undefined || lastId === undefined ? 0 : compareIds(id, lastId);
        if (order < 0) {
          throw new Error(`event ${id} of the stream comes after event ${lastId}`);
        }
        if (id !== undefined || DATA_LINE.test(event)) {
          if (awaitsEvent && hasData && order === 0) {
            throw new Error(`the resumed stream does not go on after event ${lastId}`);
          }
          awaitsEvent = false;
          hasData = true;
        }
        lastId = id ?? lastId;
      });
    this.#lastId = lastId;
    this.#awaitsEvent = awaitsEvent;
    this.#hasData = hasData;
  }
}
