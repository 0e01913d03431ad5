/**
 * Secures the endpoint of the attempt that follows a silent one, and its share of the retry budget. Without both, the
 * silent attempt is not handed over.
 */
import type AttemptHistory from './AttemptHistory.js';
import type EndpointChooser from './EndpointChooser.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardRequest from './ForwardRequest.js';
import type Placement from './Placement.js';

export default class NextAttempt {
  readonly #context: ForwardContext;

  readonly #chooser: EndpointChooser;

  readonly #request: ForwardRequest;

  #hasDeclined = false;

  constructor(context: ForwardContext, chooser: EndpointChooser, request: ForwardRequest) {
    this.#context = context;
    this.#chooser = chooser;
    this.#request = request;
  }

  /**
   * Secures an attempt that can be expected to answer in time; undefined if there is none. The history holds what will
   * have been tried once the running attempt has ended.
   */
  secure(history: AttemptHistory): Placement | undefined {
    const { clock, retryBudget } = this.#context;
    const nowMs = clock.nowMs();
    const placement = this.#chooser.choose(this.#request, history);
    if (placement === undefined || placement.target.health.isAvoided(nowMs)) {
      return this.#decline(history, 'no other endpoint is available');
    }
    if (placement.expectedMs > this.#request.expiresAtMs - nowMs) {
      return this.#decline(history, 'no other endpoint can answer before the deadline');
    }
    if (!retryBudget.spend(this.#request.service, nowMs)) {
      return this.#decline(history, 'the retry budget is exhausted');
    }
    return placement;
  }

  /** Logs the first reason only: an attempt that goes on asks again. */
  #decline({ sends }: AttemptHistory, reason: string): undefined {
    if (!this.#hasDeclined) {
      this.#hasDeclined = true;
      const { log, metrics } = this.#context;
      metrics.increment('attempts_kept', { service: this.#request.service });
      log.info(
        { requestId: this.#request.id, sends, reason },
        'endpoint is silent or unreachable; its attempt goes on since no other can follow',
      );
    }
    return undefined;
  }
}
