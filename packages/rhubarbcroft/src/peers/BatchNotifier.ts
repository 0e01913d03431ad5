/** Collects items and sends those of one period together to the peers; sleeps while there are none. */
import type Clock from '../supervision/Clock.js';
import Task from '../supervision/Task.js';
import Wakeup from '../supervision/Wakeup.js';

/** The oldest items beyond this number are dropped. */
const MAX_ITEMS = 4_096;

abstract class BatchNotifier<Item> extends Task {
  protected readonly clock: Clock;

  readonly #periodMs: number;

  readonly #wakeup = new Wakeup();

  #items: readonly Item[] = [];

  constructor(clock: Clock, periodMs: number) {
    super();
    this.clock = clock;
    this.#periodMs = periodMs;
  }

  add(item: Item): void {
    this.#items = [...this.#items, item].slice(-MAX_ITEMS);
    this.#wakeup.notify();
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#wakeup.wait(signal);
      await this.clock.sleep(this.#periodMs, signal);
      const items = this.#items;
      this.#items = [];
      if (items.length > 0) {
        this.send(items);
      }
    }
  }

  /** Sends one batch, which is never empty. */
  protected abstract send(items: readonly Item[]): void;
}

export default BatchNotifier;
