/**
 * Hands a request over from an attempt that is silent to one at another endpoint. The silent attempt goes on until the
 * other endpoint has accepted the request, since that endpoint may decline it; if the silent attempt makes progress
 * first, the other one is cancelled. It is never started twice at a time.
 */
import type AttemptRun from './AttemptRun.js';
import type EndedAttempt from './EndedAttempt.js';
import type Placement from './Placement.js';

interface HandOverOptions {
  /** Secures an endpoint and a share of the retry budget; undefined if no attempt may follow now. */
  readonly secure: (ended: readonly EndedAttempt[]) => Placement | undefined;
  readonly begin: (placement: Placement, ended: readonly EndedAttempt[]) => AttemptRun;
}

export default class HandOver {
  readonly #options: HandOverOptions;

  #standby: AttemptRun | undefined;

  #ended: readonly EndedAttempt[] = [];

  constructor(options: HandOverOptions) {
    this.#options = options;
  }

  /** The attempts that were declined, failed or were cancelled while the silent attempt went on. */
  get ended(): readonly EndedAttempt[] {
    return this.#ended;
  }

  /**
   * Starts an attempt beside the silent one. Resolves with true once its endpoint has accepted it; with false if no
   * attempt can follow or its endpoint declined it. `progress` aborts when the silent attempt makes progress.
   */
  async start(progress: AbortSignal): Promise<boolean> {
    if (this.#standby !== undefined) {
      return false;
    }
    const placement = this.#options.secure(this.#ended);
    if (placement === undefined) {
      return false;
    }
    const standby = this.#options.begin(placement, this.#ended);
    this.#standby = standby;
    void this.#awaitEnd(standby);
    progress.addEventListener('abort', () => standby.cancel('the silent attempt went on'), {
      once: true,
    });
    return standby.accepted;
  }

  /** Takes the attempt that follows; undefined when there is none. */
  take(): AttemptRun | undefined {
    const standby = this.#standby?.isCancelled === true ? undefined : this.#standby;
    if (standby !== undefined) {
      this.#standby = undefined;
    }
    return standby;
  }

  async #awaitEnd(standby: AttemptRun): Promise<void> {
    const { placement } = standby;
    // An internal error was logged where it occurred; the silent attempt goes on.
    const result = await standby.result.catch(() => undefined);
    if (this.#standby === standby) {
      this.#standby = undefined;
      this.#ended = result === undefined ? this.#ended : [...this.#ended, { placement, result }];
    }
  }
}
