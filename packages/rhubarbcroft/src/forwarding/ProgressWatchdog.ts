/**
 * Aborts an attempt when it makes no progress within its time limit, when its endpoint becomes unreachable, or
 * when the request itself is aborted.
 */
export default class ProgressWatchdog {
  readonly #controller = new AbortController();

  readonly #outer: AbortSignal;

  #timer: NodeJS.Timeout | undefined;

  #wasSilent = false;

  readonly #lost: AbortSignal | undefined;

  readonly #handleOuterAbort = (): void => this.#controller.abort(this.#outer.reason);

  readonly #handleLost = (): void => this.#abortSilent(this.#lost?.reason as Error);

  /**
   * `outer` aborts when the request ends; `lost` aborts when the endpoint becomes unreachable, and is given only
   * when the attempt may be repeated at another endpoint.
   */
  constructor(outer: AbortSignal, lost?: AbortSignal) {
    this.#outer = outer;
    this.#lost = lost;
    if (outer.aborted) {
      this.#handleOuterAbort();
    }
    outer.addEventListener('abort', this.#handleOuterAbort, { once: true });
    lost?.addEventListener('abort', this.#handleLost, { once: true });
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Whether the attempt was aborted because it made no progress or its endpoint became unreachable. */
  get wasSilent(): boolean {
    return this.#wasSilent;
  }

  /** Restarts the timer: progress is expected within this time, in milliseconds; undefined sets no limit. */
  expect(withinMs: number | undefined): void {
    clearTimeout(this.#timer);
    if (withinMs !== undefined) {
      this.#timer = setTimeout(() => {
        this.#abortSilent(new Error(`no data was received for ${Math.round(withinMs)} ms`));
      }, withinMs);
    }
  }

  /** Stops the timer and removes the listeners. */
  close(): void {
    clearTimeout(this.#timer);
    this.#outer.removeEventListener('abort', this.#handleOuterAbort);
    this.#lost?.removeEventListener('abort', this.#handleLost);
  }

  #abortSilent(reason: Error): void {
    this.#wasSilent = true;
    this.#controller.abort(reason);
  }
}
