/**
 * Aborts an attempt when it makes no progress within its time limit, which becomes short when its endpoint seems
 * unreachable, provided that another attempt has taken over; a sound endpoint may be silent for a while. Aborts it in
 * any case when the request itself is aborted.
 */
import waitForEventLoop from '../supervision/waitForEventLoop.js';

interface ProgressWatchdogOptions {
  /** Aborts when the request ends. */
  readonly request: AbortSignal;
  /** Aborts when the endpoint becomes unreachable; the attempt then has to show progress soon. */
  readonly lost?: AbortSignal | undefined;
  /**
   * Starts an attempt that follows this one. Resolves with false if none can follow, so that this one goes on. The
   * signal aborts when this attempt makes progress meanwhile.
   */
  readonly handOver: (progress: AbortSignal) => Promise<boolean>;
}

/** The interval at which another attempt is looked for after the time limit has passed. */
const RETRY_PERIOD_MS = 250;
/** Time for progress after a connection to the endpoint failed; open connections to it may be sound. */
const LOST_GRACE_MS = 300;

export default class ProgressWatchdog {
  readonly #controller = new AbortController();

  readonly #options: ProgressWatchdogOptions;

  #timer: NodeJS.Timeout | undefined;

  /** Aborts when progress is made while another attempt is started; undefined when none is being started. */
  #progress: AbortController | undefined;

  #wasSilent = false;

  readonly #handleOuterAbort = (): void => this.#controller.abort(this.#options.request.reason);

  readonly #handleLost = (): void => {
    if (this.#timer !== undefined && this.#progress === undefined) {
      this.#stopTimer();
      this.#startTimer(LOST_GRACE_MS, (this.#options.lost?.reason as Error).message);
    }
  };

  constructor(options: ProgressWatchdogOptions) {
    this.#options = options;
    const { request, lost } = options;
    if (request.aborted) {
      this.#handleOuterAbort();
    }
    request.addEventListener('abort', this.#handleOuterAbort, { once: true });
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
    this.#stopTimer();
    this.#progress?.abort();
    this.#progress = undefined;
    if (withinMs !== undefined) {
      this.#startTimer(withinMs, `no data was received for ${Math.round(withinMs)} ms`);
    }
  }

  /** Stops the timer and removes the listeners. */
  close(): void {
    this.#stopTimer();
    this.#options.request.removeEventListener('abort', this.#handleOuterAbort);
    this.#options.lost?.removeEventListener('abort', this.#handleLost);
  }

  #startTimer(delayMs: number, reason: string): void {
    const timer = setTimeout(() => {
      this.#handleTimeout(timer, reason).catch((error: Error) => this.#controller.abort(error));
    }, delayMs);
    this.#timer = timer;
  }

  #stopTimer(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  async #handleTimeout(timer: NodeJS.Timeout, reason: string): Promise<void> {
    // Timers run before sockets are read, so a busy node may not have read yet what has arrived.
    await waitForEventLoop();
    if (this.#timer !== timer || this.signal.aborted) {
      return;
    }
    const progress = new AbortController();
    this.#progress = progress;
    const isHandedOver = await this.#options.handOver(progress.signal);
    if (this.#timer !== timer || this.signal.aborted) {
      return;
    }
    this.#progress = undefined;
    if (isHandedOver) {
      this.#wasSilent = true;
      this.#controller.abort(new Error(reason));
    } else {
      this.#startTimer(RETRY_PERIOD_MS, reason);
    }
  }
}
