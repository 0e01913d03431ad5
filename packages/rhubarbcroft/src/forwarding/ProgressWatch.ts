/**
 * Aborts an attempt that makes no progress for a while, whose endpoint has become unreachable, or when the
 * request itself ends.
 */
export default class ProgressWatch {
  readonly #controller = new AbortController();

  readonly #outer: AbortSignal;

  #timer: NodeJS.Timeout | undefined;

  #wasSilent = false;

  readonly #lost: AbortSignal | undefined;

  readonly #abort = (): void => this.#controller.abort(this.#outer.reason);

  readonly #abortLost = (): void => this.#end(this.#lost?.reason as Error);

  /** `lost` is given when the attempt may be made elsewhere. */
  constructor(outer: AbortSignal, lost?: AbortSignal) {
    this.#outer = outer;
    this.#lost = lost;
    if (outer.aborted) {
      this.#abort();
    }
    outer.addEventListener('abort', this.#abort, { once: true });
    lost?.addEventListener('abort', this.#abortLost, { once: true });
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
        this.#end(new Error(`nothing came for ${Math.round(withinMs)} ms`));
      }, withinMs);
    }
  }

  close(): void {
    clearTimeout(this.#timer);
    this.#outer.removeEventListener('abort', this.#abort);
    this.#lost?.removeEventListener('abort', this.#abortLost);
  }

  #end(reason: Error): void {
    this.#wasSilent = true;
    this.#controller.abort(reason);
  }
}
