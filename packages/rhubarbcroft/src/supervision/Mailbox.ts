/** An unbounded queue with a single consumer. The protocol that a producer serves limits how much it queues. */
export default class Mailbox<Item> {
  #items: Item[] = [];

  #wake: (() => void) | undefined;

  #closed = false;

  push(item: Item): void {
    this.#items.push(item);
    this.#wake?.();
  }

  /** Ends the iteration once the items that are already queued have been consumed. */
  close(): void {
    this.#closed = true;
    this.#wake?.();
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Item, void, undefined> {
    while (true) {
      const item = this.#items.shift();
      if (item !== undefined) {
        yield item;
      } else if (this.#closed) {
        return;
      } else {
        await new Promise<void>((resolve) => {
          this.#wake = resolve;
        });
      }
    }
  }
}
