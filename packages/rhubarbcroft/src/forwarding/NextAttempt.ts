/**
 * Secures the attempt that follows a running one, before that one is given up: its endpoint and its share of the
 * retry budget. An attempt that is given up first would leave its caller without an answer if no other can follow.
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

  /** What will have been tried once the running attempt has ended. */
  readonly #history: AttemptHistory;

  #placement: Placement | undefined;

  #hasDeclined = false;

  constructor(
    context: ForwardContext,
    chooser: EndpointChooser,
    request: ForwardRequest,
    history: AttemptHistory,
  ) {
    this.#context = context;
    this.#chooser = chooser;
    this.#request = request;
    this.#history = history;
  }

  /** The placement that was secured; undefined when none was. */
  get placement(): Placement | undefined {
    return this.#placement;
  }

  /** Secures an attempt that can be expected to answer in time; returns whether there is one. */
  secure(): boolean {
    const { clock, retryBudget } = this.#context;
    const nowMs = clock.nowMs();
    const placement = this.#chooser.choose(this.#request, this.#history);
    if (placement === undefined || placement.target.health.isAvoided(nowMs)) {
      return this.#decline('no other endpoint is available');
    }
    if (placement.expectedMs > this.#request.expiresAtMs - nowMs) {
      return this.#decline('no other endpoint can answer before the deadline');
    }
    if (!retryBudget.spend(this.#request.service, nowMs)) {
      return this.#decline('the retry budget is exhausted');
    }
    this.#placement = placement;
    return true;
  }

  /** Logs the first reason only: an attempt that goes on asks again. */
  #decline(reason: string): false {
    if (!this.#hasDeclined) {
      this.#hasDeclined = true;
      const { log, metrics } = this.#context;
      metrics.increment('attempts_kept', { service: this.#request.service });
      log.info(
        { requestId: this.#request.id, sends: this.#history.sends, reason },
        'endpoint is silent or unreachable; its attempt goes on since no other can follow',
      );
    }
    return false;
  }
}
