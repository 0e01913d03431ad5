/** Aborts an attempt that makes no progress for a while, or when the request itself ends. */
export default class ProgressWatch {
  readonly #controller = new AbortController();

  readonly #outer: AbortSignal;

  #timer: NodeJS.Timeout | undefined;

  #wasSilent = false;

  readonly #abort = (): void => this.#controller.abort(this.#outer.reason);

  constructor(outer: AbortSignal) {
    this.#outer = outer;
    if (outer.aborted) {
      this.#abort();
    }
    outer.addEventListener('abort', this.#abort, { once: true });
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Whether the attempt was ended because nothing came. */
  get wasSilent(): boolean {
    return this.#wasSilent;
  }

  /** Expects progress within a time from now on; undefined waits without a bound. */
  expect(withinMs: number | undefined): void {
    clearTimeout(this.#timer);
    if (withinMs !== undefined) {
      this.#timer = setTimeout(() => {
        this.#wasSilent = true;
        this.#controller.abort(new Error(`nothing came for ${Math.round(withinMs)} ms`));
      }, withinMs);
    }
  }

  close(): void {
    clearTimeout(this.#timer);
    this.#outer.removeEventListener('abort', this.#abort);
  }
}
