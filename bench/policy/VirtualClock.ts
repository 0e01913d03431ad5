/** A virtual clock with an event queue; time advances to the next event without waiting. */
import TinyQueue from 'tinyqueue';

interface Event {
  readonly atMs: number;
  readonly run: () => void;
}

export default class VirtualClock {
  readonly #events = new TinyQueue<Event>([], (a, b) => a.atMs - b.atMs);

  #nowMs = 0;

  get nowMs(): number {
    return this.#nowMs;
  }

  at(atMs: number, run: () => void): void {
    this.#events.push({ atMs, run });
  }

  every(periodMs: number, untilMs: number, run: () => void): void {
    const tick = (): void => {
      run();
      if (this.#nowMs + periodMs < untilMs) {
        this.at(this.#nowMs + periodMs, tick);
      }
    };
    this.at(periodMs, tick);
  }

  run(): void {
    let event = this.#events.pop();
    while (event !== undefined) {
      this.#nowMs = event.atMs;
      event.run();
      event = this.#events.pop();
    }
  }
}
