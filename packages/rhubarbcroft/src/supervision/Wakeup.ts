/** Lets a task sleep until it is notified. A notification that arrives before `wait` is kept for it. */
export default class Wakeup {
  #pending = false;

  #wake: (() => void) | undefined;

  notify(): void {
    this.#pending = true;
    this.#wake?.();
  }

  /** Resolves at the next notification, or when the signal aborts. */
  async wait(signal: AbortSignal): Promise<void> {
    if (!this.#pending && !signal.aborted) {
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          signal.removeEventListener('abort', wake);
          resolve();
        };
        this.#wake = wake;
        signal.addEventListener('abort', wake, { once: true });
      });
    }
    this.#pending = false;
    this.#wake = undefined;
  }
}
