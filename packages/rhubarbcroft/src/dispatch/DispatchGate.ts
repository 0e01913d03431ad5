/**
 * The admission queue in front of one group of interchangeable endpoints.
 *
 * The admission policy orders the queued requests, the router finds a route for the next one, and the
 * dispatch rule decides whether it may be dispatched now. A dispatched request is added to the in-flight
 * work of its endpoint in the same step, so that the next decision takes it into account.
 */
import { randomUUID } from 'node:crypto';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import RANKS from '@rhubarbcroft/protocol/ranks/RANKS';
import type EndpointView from '../decisions/EndpointView.js';
import type Work from '../decisions/Work.js';
import type AdmissionPolicy from '../decisions/admission/AdmissionPolicy.js';
import type DispatchRule from '../decisions/admission/DispatchRule.js';
import type Route from '../decisions/routing/Route.js';
import type Router from '../decisions/routing/Router.js';
import type EndpointRegistry from '../endpoints/EndpointRegistry.js';
import type DispatchedRequest from '../endpoints/DispatchedRequest.js';
import type DispatchNotice from '../peers/DispatchNotice.js';
import type Clock from '../supervision/Clock.js';
import type DispatchTicket from './DispatchTicket.js';

interface GateOptions {
  readonly policy: AdmissionPolicy;
  readonly router: Router;
  readonly rule: DispatchRule;
  readonly registry: EndpointRegistry;
  readonly clock: Clock;
  readonly listCandidateIds: () => readonly string[];
  /** Sends a notice of each dispatched request to the peers. */
  readonly publishDispatch: (notice: DispatchNotice) => void;
  /** Called when a request stays in the queue, so that the gate is polled until the queue is empty. */
  readonly notifyWaiting: () => void;
  /** Records the demand of each arriving request, whether it is then admitted or not. */
  readonly recordDemand: (promptTokens: number, outputTokens: number) => void;
}

interface Waiter {
  readonly fingerprint: string;
  readonly settle: (result: Result<DispatchTicket, Failure>) => void;
}

/** How long queued requests wait while no endpoint of the group is available. */
const NO_ENDPOINT_TIMEOUT_MS = 5_000;
const RETRY_AFTER_MS = 1_000;

export default class DispatchGate {
  readonly #options: GateOptions;

  /** The queued requests, by request id. */
  readonly #waiters = new Map<string, Waiter>();

  #unavailableSinceMs: number | undefined;

  constructor(options: GateOptions) {
    this.#options = options;
  }

  /** The number of queued requests. */
  get waiting(): number {
    return this.#waiters.size;
  }

  /**
   * Queues the work and resolves with a ticket once it may be dispatched, or with the failure when it is refused,
   * its deadline can no longer be met, or its caller disconnects.
   */
  async acquireTicket(
    work: Work,
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<Result<DispatchTicket, Failure>> {
    const { policy, clock, router, listCandidateIds, recordDemand } = this.#options;
    if (listCandidateIds().length === 0) {
      return err(createFailure('NO_ENDPOINT', 'no endpoint satisfies the placement rules'));
    }
    recordDemand(router.estimateUncachedTokens(work), work.outputTokens);
    const verdict = policy.offer(work, clock.nowMs());
    if (!verdict.admitted) {
      const detail = `rank ${work.rank}, kind ${work.kind}`;
      return err(createFailure(verdict.code, detail, 'not_run', verdict.retryAfterMs));
    }
    const cancel = (): void => {
      policy.withdraw(work.requestId);
      this.#settle(
        work.requestId,
        err(
          createFailure(
            'DEADLINE_UNREACHABLE',
            'the caller disconnected while the request was queued',
          ),
        ),
      );
    };
    const settled = new Promise<Result<DispatchTicket, Failure>>((resolve) => {
      this.#waiters.set(work.requestId, { fingerprint, settle: resolve });
    });
    signal.addEventListener('abort', cancel, { once: true });
    this.dispatchWaiting();
    if (this.#waiters.size > 0) {
      this.#options.notifyWaiting();
    }
    const result = await settled;
    signal.removeEventListener('abort', cancel);
    return result;
  }

  /** Dispatches all queued work that may run now, and fails work that can no longer meet its deadline. */
  dispatchWaiting(): void {
    const { policy, clock } = this.#options;
    if (this.#waiters.size === 0) {
      return;
    }
    policy.expire(clock.nowMs()).forEach((work) => {
      this.#settle(
        work.requestId,
        err(
          createFailure(
            'DEADLINE_UNREACHABLE',
            'the request was queued for too long',
            'not_run',
            RETRY_AFTER_MS,
          ),
        ),
      );
    });
    let dispatched = true;
    while (dispatched && this.#waiters.size > 0) {
      dispatched = this.#dispatchNext();
    }
  }

  /** The ids of the endpoints in this group that accept new work now. */
  listAvailableIds(): readonly string[] {
    return this.#listCandidates()
      .filter((candidate) => candidate.available)
      .map((candidate) => candidate.id);
  }

  /**
   * Returns a ticket for another attempt at work that was admitted earlier, restricted to the endpoints that
   * `allows` accepts; undefined when none of them has a route.
   */
  reroute(
    work: Work,
    fingerprint: string,
    allows: (endpointId: string) => boolean,
  ): DispatchTicket | undefined {
    const candidates = this.#listCandidates().filter((candidate) => allows(candidate.id));
    const route = this.#options.router.choose(work, candidates);
    return route === undefined ? undefined : this.#begin(work, fingerprint, route);
  }

  /** Whether another endpoint of the group is available to resume work that runs at this one. */
  hasAlternativeTo(endpointId: string): boolean {
    return this.#listCandidates().some(
      (candidate) => candidate.available && candidate.id !== endpointId,
    );
  }

  /** Removes an attempt from the in-flight work of the endpoints on its route. */
  releaseTicket(ticket: DispatchTicket): void {
    const { registry } = this.#options;
    registry.get(ticket.route.endpointId)?.state.endAttempt(ticket.attemptId);
    if (ticket.route.prefillId !== undefined) {
      registry.get(ticket.route.prefillId)?.state.endAttempt(ticket.attemptId);
    }
    this.dispatchWaiting();
  }

  /** Dispatches the next request; returns false when none can be dispatched now. */
  #dispatchNext(): boolean {
    const { policy, clock } = this.#options;
    const candidates = this.#listCandidates();
    if (!this.#checkAvailability(candidates)) {
      return false;
    }
    let route: Route | undefined;
    const work = policy.take(clock.nowMs(), (next) => {
      route = this.#findRoute(next, candidates);
      return route !== undefined;
    });
    if (work === undefined || route === undefined) {
      return false;
    }
    const waiter = this.#waiters.get(work.requestId);
    if (waiter !== undefined) {
      this.#settle(work.requestId, ok(this.#begin(work, waiter.fingerprint, route)));
    }
    return true;
  }

  #findRoute(work: Work, candidates: readonly EndpointView[]): Route | undefined {
    const { rule, router } = this.#options;
    const route = router.choose(
      work,
      rule.filter(work, candidates, router.findCachedPrefixes(work, candidates)),
    );
    const endpoint = candidates.find(
      (candidate) => candidate.id === (route?.prefillId ?? route?.endpointId),
    );
    const allowed =
      route !== undefined && endpoint !== undefined && rule.allows(work, route, endpoint);
    return allowed ? route : undefined;
  }

  /**
   * Returns whether any endpoint is available. Refuses all queued requests once none has been available for
   * longer than `NO_ENDPOINT_TIMEOUT_MS`.
   */
  #checkAvailability(candidates: readonly EndpointView[]): boolean {
    const nowMs = this.#options.clock.nowMs();
    if (candidates.some((candidate) => candidate.available)) {
      this.#unavailableSinceMs = undefined;
      return true;
    }
    this.#unavailableSinceMs ??= nowMs;
    if (nowMs - this.#unavailableSinceMs > NO_ENDPOINT_TIMEOUT_MS) {
      for (const requestId of this.#waiters.keys()) {
        this.#options.policy.withdraw(requestId);
        this.#settle(
          requestId,
          err(
            createFailure(
              'NO_ENDPOINT',
              'no endpoint of the group has been available for several seconds',
              'not_run',
              RETRY_AFTER_MS,
            ),
          ),
        );
      }
    }
    return false;
  }

  /** Creates the ticket of an attempt and records the attempt at the endpoints of its route. */
  #begin(work: Work, fingerprint: string, route: Route): DispatchTicket {
    const { router, clock } = this.#options;
    const attemptId = randomUUID();
    const dispatched = {
      attemptId,
      fingerprint,
      rank: RANKS.indexOf(work.rank),
      sentAtMs: clock.nowMs(),
    };
    const { promptTokens, outputTokens } = work;
    if (route.prefillId === undefined) {
      this.#record(route.endpointId, { ...dispatched, promptTokens, outputTokens });
    } else {
      this.#record(route.prefillId, { ...dispatched, promptTokens, outputTokens: 0 });
      this.#record(route.endpointId, { ...dispatched, promptTokens: 0, outputTokens });
    }
    router.recordDispatch(work, route);
    return { attemptId, route, priority: dispatched.rank };
  }

  #record(endpointId: string, dispatched: DispatchedRequest): void {
    const { registry, publishDispatch } = this.#options;
    registry.get(endpointId)?.state.beginAttempt(dispatched);
    publishDispatch({
      endpointId,
      rank: dispatched.rank,
      promptTokens: dispatched.promptTokens,
      sentAtMs: dispatched.sentAtMs,
    });
  }

  #settle(requestId: string, result: Result<DispatchTicket, Failure>): void {
    const waiter = this.#waiters.get(requestId);
    this.#waiters.delete(requestId);
    waiter?.settle(result);
  }

  #listCandidates(): readonly EndpointView[] {
    return this.#options.registry.listCandidates(this.#options.listCandidateIds());
  }
}
