/**
 * Serves a request to a model from admission to the last token.
 *
 * Tokens are written to the sink as they arrive. When an attempt fails, the next one resumes after the
 * tokens that were already delivered, and the connection of the failed attempt is closed, so that no late
 * event of it reaches the caller. The caller receives the complete answer or an explicit failure.
 */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type PoisonTracker from '../decisions/poison/PoisonTracker.js';
import type RetryBudget from '../decisions/retries/RetryBudget.js';
import type EndpointRegistry from '../endpoints/EndpointRegistry.js';
import type Clock from '../supervision/Clock.js';
import type Metrics from '../telemetry/Metrics.js';
import type AnswerSink from './AnswerSink.js';
import type FailureClassifier from './FailureClassifier.js';
import type DispatchGate from './DispatchGate.js';
import type DispatchTicket from './DispatchTicket.js';
import type AttemptProgress from './AttemptProgress.js';
import ModelAttempt from './ModelAttempt.js';
import type ModelRequest from './ModelRequest.js';
import type SuspectIsolation from './SuspectIsolation.js';
import waitForRetry from './waitForRetry.js';

interface ModelDispatcherOptions {
  readonly registry: EndpointRegistry;
  readonly poison: PoisonTracker;
  readonly suspectIsolation: SuspectIsolation;
  readonly failureClassifier: FailureClassifier;
  readonly retries: RetryBudget;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Called when a suspect request has succeeded and is no longer suspected. */
  readonly onCleared: (fingerprint: string) => void;
}

interface ServedCompletion {
  readonly tokens: number;
  readonly endpointId: string;
  readonly attempts: number;
}

/** The interval at which a route for the next attempt is looked for. */
const REROUTE_WAIT_MS = 50;

export default class ModelDispatcher {
  readonly #options: ModelDispatcherOptions;

  constructor(options: ModelDispatcherOptions) {
    this.#options = options;
  }

  /** Resolves when the sink has received the complete answer, or with the failure to report to the caller. */
  async serve(
    request: ModelRequest,
    gate: DispatchGate,
    sink: AnswerSink,
    signal: AbortSignal,
  ): Promise<Result<ServedCompletion, Failure>> {
    const { poison, retries, clock } = this.#options;
    const standing = poison.getStatus(request.fingerprint);
    if (standing === 'held') {
      return err(createFailure('POISONED', 'two endpoints crashed while it ran'));
    }
    const admitted = await gate.acquireTicket(request.work, request.fingerprint, signal);
    if (admitted.isErr) {
      return err(admitted.error);
    }
    retries.recordFirstAttempt(clock.nowMs());
    if (standing === 'suspect') {
      gate.releaseTicket(admitted.value);
      return this.#runAttempts(request, gate, undefined, sink, signal);
    }
    return this.#runAttempts(request, gate, admitted.value, sink, signal);
  }

  /** Runs attempts until one completes the answer. Without a first ticket, one is searched for. */
  async #runAttempts(
    request: ModelRequest,
    gate: DispatchGate,
    first: DispatchTicket | undefined,
    sink: AnswerSink,
    signal: AbortSignal,
  ): Promise<Result<ServedCompletion, Failure>> {
    const attempt = new ModelAttempt(this.#options);
    const failed = new Set<string>();
    let ticket = first;
    let delivered = 0;
    let attempts = 0;
    let started = false;
    while (!signal.aborted) {
      ticket ??= await this.#findTicket(request, gate, failed, signal);
      if (ticket === undefined) {
        return err(
          this.#createFinalFailure(
            request,
            delivered,
            started,
            'no route to an endpoint was found',
          ),
        );
      }
      attempts += 1;
      const progress = await attempt.run(
        { request, gate, ticket, deliveredTokens: delivered, sink },
        signal,
      );
      delivered = progress.deliveredTokens;
      started ||= progress.started;
      const { endpointId } = ticket.route;
      if (progress.failure === undefined) {
        this.#release(gate, ticket);
        this.#recordSuccess(request.fingerprint, endpointId);
        return ok({ tokens: delivered, endpointId, attempts });
      }
      const failure = await this.#handleFailure(request, { ...progress, started }, signal);
      this.#release(gate, ticket);
      if (failure !== undefined) {
        return err(failure);
      }
      failed.add(progress.failedEndpointId);
      ticket = undefined;
    }
    return err(this.#createFinalFailure(request, delivered, started, 'the caller disconnected'));
  }

  /**
   * Classifies a failed attempt and waits for the retry budget. Returns the failure that ends the request, or
   * undefined when another attempt may follow.
   */
  async #handleFailure(
    request: ModelRequest,
    progress: AttemptProgress,
    signal: AbortSignal,
  ): Promise<Failure | undefined> {
    const { failureClassifier: classifier, poison, retries, clock, metrics } = this.#options;
    const { failure, failedEndpointId: endpointId, deliveredTokens: delivered, started } = progress;
    if (failure === undefined || failure.kind === 'moved' || signal.aborted) {
      return undefined;
    }
    if (failure.kind === 'invalid') {
      return createFailure('ENDPOINT_FAILED', failure.detail, 'unknown');
    }
    const finding = await classifier.classify(endpointId, failure);
    metrics.increment('attempt.failed', { endpoint: endpointId, finding });
    if (poison.getStatus(request.fingerprint) === 'held') {
      return createFailure('POISONED', 'two endpoints crashed while it ran', 'ran');
    }
    const { deadlineAtMs } = request.work;
    if (!(await waitForRetry({ retries, clock, deadlineAtMs, signal })) && !signal.aborted) {
      const ran = started ? 'unknown' : 'not_run';
      return createFailure(
        'DEADLINE_EXCEEDED',
        `${delivered} tokens were delivered before the deadline`,
        ran,
      );
    }
    return undefined;
  }

  /**
   * Waits for a route that avoids the endpoints that failed. Once none of the others has one, the failed
   * endpoints are allowed again. Suspect requests are restricted to the endpoints where they run in isolation.
   * Returns undefined when the deadline passes or the caller disconnects.
   */
  async #findTicket(
    request: ModelRequest,
    gate: DispatchGate,
    failed: Set<string>,
    signal: AbortSignal,
  ): Promise<DispatchTicket | undefined> {
    const { clock, poison, suspectIsolation: isolation } = this.#options;
    const waitingSinceMs = clock.nowMs();
    while (!signal.aborted && clock.nowMs() < request.work.deadlineAtMs) {
      const suspect = poison.getStatus(request.fingerprint) === 'suspect';
      const allowedIds = suspect
        ? isolation.listAllowedIds(gate.listAvailableIds(), clock.nowMs() - waitingSinceMs)
        : undefined;
      const ticket = gate.reroute(
        request.work,
        request.fingerprint,
        (id) => !failed.has(id) && allowedIds?.has(id) !== false,
      );
      if (ticket !== undefined) {
        if (suspect) {
          isolation.reserve(ticket);
        }
        return ticket;
      }
      await clock.sleep(REROUTE_WAIT_MS, signal);
      failed.clear();
    }
    return undefined;
  }

  #release(gate: DispatchGate, ticket: DispatchTicket): void {
    this.#options.suspectIsolation.release(ticket);
    gate.releaseTicket(ticket);
  }

  /** Records the success of the endpoint and clears the request of suspicion. */
  #recordSuccess(fingerprint: string, endpointId: string): void {
    const { poison, registry, clock, onCleared } = this.#options;
    registry.get(endpointId)?.state.outliers.recordSuccess(clock.nowMs());
    if (poison.clear(fingerprint)) {
      onCleared(fingerprint);
    }
  }

  /** Creates the failure of a request that ends without a complete answer. */
  #createFinalFailure(
    request: ModelRequest,
    delivered: number,
    started: boolean,
    detail: string,
  ): Failure {
    if (delivered > 0) {
      return createFailure('STREAM_BROKEN', `${detail}; ${delivered} tokens were delivered`, 'ran');
    }
    const expired = this.#options.clock.nowMs() >= request.work.deadlineAtMs;
    return createFailure(
      expired ? 'DEADLINE_EXCEEDED' : 'NO_ENDPOINT',
      detail,
      started ? 'unknown' : 'not_run',
    );
  }
}
