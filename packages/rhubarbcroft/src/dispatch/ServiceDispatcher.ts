/**
 * Serves a call to a plain service.
 *
 * A repeatable call is retried at other endpoints within the retry budget. Any other call runs at most once:
 * with an idempotency key it is claimed in the table before it is dispatched, and its answer is stored;
 * without a key it is dispatched once and retried only if it certainly did not start.
 */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type RunState from '@rhubarbcroft/protocol/results/RunState';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type ClaimRegistry from '../claims/ClaimRegistry.js';
import type RetryBudget from '../decisions/retries/RetryBudget.js';
import type AttemptFailure from '../endpoints/AttemptFailure.js';
import type EndpointRegistry from '../endpoints/EndpointRegistry.js';
import type ServiceAnswer from '../endpoints/ServiceAnswer.js';
import type Clock from '../supervision/Clock.js';
import type DispatchGate from './DispatchGate.js';
import type DispatchTicket from './DispatchTicket.js';
import type ServiceRequest from './ServiceRequest.js';
import waitForRetry from './waitForRetry.js';

interface ServiceDispatcherOptions {
  readonly registry: EndpointRegistry;
  readonly claims: ClaimRegistry;
  readonly retries: RetryBudget;
  readonly clock: Clock;
}

interface ServedCall {
  readonly answer: ServiceAnswer;
  /** The id of the endpoint that answered, or `stored` for a replayed answer. */
  readonly endpointId: string;
  /** Whether this is the stored answer of an earlier run. */
  readonly replayed: boolean;
}

/** The interval at which a route for the next attempt is looked for. */
const REROUTE_WAIT_MS = 50;

export default class ServiceDispatcher {
  readonly #options: ServiceDispatcherOptions;

  constructor(options: ServiceDispatcherOptions) {
    this.#options = options;
  }

  /** Resolves with the answer of the service, or with the failure to report to the caller. */
  async serve(
    request: ServiceRequest,
    gate: DispatchGate,
    signal: AbortSignal,
  ): Promise<Result<ServedCall, Failure>> {
    const admitted = await gate.acquireTicket(request.work, request.fingerprint, signal);
    if (admitted.isErr) {
      return err(admitted.error);
    }
    this.#options.retries.recordFirstAttempt(this.#options.clock.nowMs());
    if (request.call.repeatable) {
      return this.#runRepeatable(request, gate, admitted.value, signal);
    }
    if (request.idempotencyKey === undefined) {
      return this.#runOnce(request, gate, admitted.value);
    }
    return this.#runClaimed(request, request.idempotencyKey, gate, admitted.value, signal);
  }

  async #runRepeatable(
    request: ServiceRequest,
    gate: DispatchGate,
    first: DispatchTicket,
    signal: AbortSignal,
  ): Promise<Result<ServedCall, Failure>> {
    const { retries, clock } = this.#options;
    const failed = new Set<string>();
    let ticket: DispatchTicket | undefined = first;
    let ran: RunState = 'not_run';
    while (ticket !== undefined && !signal.aborted) {
      const result = await this.#attempt(request, ticket, signal);
      gate.releaseTicket(ticket);
      if (result.isOk) {
        return ok({ answer: result.value, endpointId: ticket.route.endpointId, replayed: false });
      }
      ran = result.error.kind === 'unsent' || result.error.kind === 'rejected' ? ran : 'unknown';
      failed.add(ticket.route.endpointId);
      const { deadlineAtMs } = request.work;
      const retry = await waitForRetry({ retries, clock, deadlineAtMs, signal });
      ticket = retry ? await this.#findTicket(request, gate, failed, signal) : undefined;
    }
    return err(createFailure('DEADLINE_EXCEEDED', 'no endpoint answered before the deadline', ran));
  }

  /** Claims the idempotency key, runs the call, and then completes, releases or abandons the claim. */
  async #runClaimed(
    request: ServiceRequest,
    key: string,
    gate: DispatchGate,
    ticket: DispatchTicket,
    signal: AbortSignal,
  ): Promise<Result<ServedCall, Failure>> {
    const { claims } = this.#options;
    const claim = await claims.claim(request.account, key, request.fingerprint, signal);
    if (claim.isErr) {
      gate.releaseTicket(ticket);
      return err(claim.error);
    }
    if (claim.value.type === 'answered') {
      gate.releaseTicket(ticket);
      return ok({ answer: claim.value.answer, endpointId: 'stored', replayed: true });
    }
    const served = await this.#runOnce(request, gate, ticket);
    if (served.isOk) {
      await claims.complete(claim.value.claim, served.value.answer);
    } else if (served.error.ran === 'not_run') {
      claims.release(claim.value.claim);
    } else {
      claims.abandon(claim.value.claim);
    }
    return served;
  }

  /** Runs a call that must not run twice; another endpoint is tried only if the call certainly did not start. */
  async #runOnce(
    request: ServiceRequest,
    gate: DispatchGate,
    first: DispatchTicket,
  ): Promise<Result<ServedCall, Failure>> {
    const { clock } = this.#options;
    const remainingMs = Math.max(1, request.work.deadlineAtMs - clock.nowMs());
    const signal = AbortSignal.timeout(Math.ceil(remainingMs));
    const failed = new Set<string>();
    let ticket: DispatchTicket | undefined = first;
    while (ticket !== undefined) {
      const result = await this.#attempt(request, ticket, signal);
      gate.releaseTicket(ticket);
      if (result.isOk) {
        return ok({ answer: result.value, endpointId: ticket.route.endpointId, replayed: false });
      }
      if (result.error.kind !== 'unsent' && result.error.kind !== 'rejected') {
        return err(createFailure('ENDPOINT_FAILED', result.error.detail, 'unknown'));
      }
      failed.add(ticket.route.endpointId);
      ticket = await this.#findTicket(request, gate, failed, signal);
    }
    return err(createFailure('NO_ENDPOINT', 'no endpoint started the call before its deadline'));
  }

  /**
   * Waits for a route that avoids the endpoints that failed. Once none of the others has one, the failed
   * endpoints are allowed again. Returns undefined when the deadline passes or the signal aborts.
   */
  async #findTicket(
    request: ServiceRequest,
    gate: DispatchGate,
    failed: Set<string>,
    signal: AbortSignal,
  ): Promise<DispatchTicket | undefined> {
    const { clock } = this.#options;
    while (!signal.aborted && clock.nowMs() < request.work.deadlineAtMs) {
      const ticket = gate.reroute(request.work, request.fingerprint, (id) => !failed.has(id));
      if (ticket !== undefined) {
        return ticket;
      }
      await clock.sleep(REROUTE_WAIT_MS, signal);
      failed.clear();
    }
    return undefined;
  }

  async #attempt(
    request: ServiceRequest,
    ticket: DispatchTicket,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, AttemptFailure>> {
    const { registry, clock } = this.#options;
    const entry = registry.get(ticket.route.endpointId);
    if (entry?.service === undefined) {
      return err({ kind: 'unsent', detail: 'the endpoint is no longer in the fleet' });
    }
    const startedAtMs = clock.nowMs();
    const answer = await entry.service.call(request.call, signal);
    const nowMs = clock.nowMs();
    if (answer.isOk) {
      entry.state.limit.recordAnswer(nowMs - startedAtMs, entry.state.inFlight.length);
      entry.state.outliers.recordSuccess(nowMs);
    } else {
      entry.state.limit.recordFailure();
      entry.state.outliers.recordFailure(nowMs, true);
    }
    return answer;
  }
}
