/**
 * The waiting room in front of one group of interchangeable endpoints.
 *
 * Requests enter, the admission policy orders them, the router finds a route for the next one, and the
 * dispatch rule says whether it may go now. What is sent is counted at its endpoint in the same step,
 * so that the next decision sees it.
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
import type SentWork from '../endpoints/SentWork.js';
import type SendNotice from '../peers/SendNotice.js';
import type Clock from '../supervision/Clock.js';
import type DispatchTicket from './DispatchTicket.js';

interface GateOptions {
  readonly policy: AdmissionPolicy;
  readonly router: Router;
  readonly rule: DispatchRule;
  readonly registry: EndpointRegistry;
  readonly clock: Clock;
  readonly listCandidateIds: () => readonly string[];
  readonly noteSent: (notice: SendNotice) => void;
  readonly noteWaiting: () => void;
  /** Told what is offered, whether it is then admitted or not. */
  readonly noteOffered: (promptTokens: number, outputTokens: number) => void;
}

interface Waiter {
  readonly fingerprint: string;
  readonly settle: (result: Result<DispatchTicket, Failure>) => void;
}

const NO_ENDPOINT_PATIENCE_MS = 5_000;
const RETRY_AFTER_MS = 1_000;

export default class DispatchGate {
  readonly #options: GateOptions;

  readonly #waiters = new Map<string, Waiter>();

  #unavailableSinceMs: number | undefined;

  constructor(options: GateOptions) {
    this.#options = options;
  }

  get waiting(): number {
    return this.#waiters.size;
  }

  /** Waits until the work may be sent, is refused, or its caller leaves. */
  async enter(
    work: Work,
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<Result<DispatchTicket, Failure>> {
    const { policy, clock, router, listCandidateIds, noteOffered } = this.#options;
    if (listCandidateIds().length === 0) {
      return err(createFailure('NO_ENDPOINT', 'no endpoint satisfies the placement rules'));
    }
    noteOffered(router.estimateNewTokens(work), work.outputTokens);
    const verdict = policy.offer(work, clock.nowMs());
    if (!verdict.admitted) {
      const detail = `rank ${work.rank}, kind ${work.kind}`;
      return err(createFailure(verdict.code, detail, 'not_run', verdict.retryAfterMs));
    }
    const leave = (): void => {
      policy.withdraw(work.requestId);
      this.#settle(
        work.requestId,
        err(createFailure('DEADLINE_UNREACHABLE', 'the caller left while it waited')),
      );
    };
    const settled = new Promise<Result<DispatchTicket, Failure>>((resolve) => {
      this.#waiters.set(work.requestId, { fingerprint, settle: resolve });
    });
    signal.addEventListener('abort', leave, { once: true });
    this.pump();
    if (this.#waiters.size > 0) {
      this.#options.noteWaiting();
    }
    const result = await settled;
    signal.removeEventListener('abort', leave);
    return result;
  }

  /** Sends on whatever may go now; called when something has changed. */
  pump(): void {
    const { policy, clock } = this.#options;
    if (this.#waiters.size === 0) {
      return;
    }
    policy.expire(clock.nowMs()).forEach((work) => {
      this.#settle(
        work.requestId,
        err(createFailure('DEADLINE_UNREACHABLE', 'it waited too long', 'not_run', RETRY_AFTER_MS)),
      );
    });
    let sent = true;
    while (sent && this.#waiters.size > 0) {
      sent = this.#sendNext();
    }
  }

  /** The endpoints of this group that may be given new work now. */
  listAvailableIds(): readonly string[] {
    return this.#listCandidates()
      .filter((candidate) => candidate.available)
      .map((candidate) => candidate.id);
  }

  /** A route for another attempt of work that was admitted before, over the endpoints that are allowed. */
  reroute(
    work: Work,
    fingerprint: string,
    allows: (endpointId: string) => boolean,
  ): DispatchTicket | undefined {
    const candidates = this.#listCandidates().filter((candidate) => allows(candidate.id));
    const route = this.#options.router.choose(work, candidates);
    return route === undefined ? undefined : this.#begin(work, fingerprint, route);
  }

  /** Whether another endpoint could go on with work that runs at this one. */
  canMove(fromId: string): boolean {
    return this.#listCandidates().some(
      (candidate) => candidate.available && candidate.id !== fromId,
    );
  }

  /** Ends the counting of an attempt at the endpoints of its route. */
  finish(ticket: DispatchTicket): void {
    const { registry } = this.#options;
    registry.get(ticket.route.endpointId)?.state.end(ticket.attemptId);
    if (ticket.route.prefillId !== undefined) {
      registry.get(ticket.route.prefillId)?.state.end(ticket.attemptId);
    }
    this.pump();
  }

  #sendNext(): boolean {
    const { policy, clock } = this.#options;
    const candidates = this.#listCandidates();
    if (!this.#noteAvailability(candidates)) {
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
      rule.filter(work, candidates, router.findHolders(work, candidates)),
    );
    const endpoint = candidates.find(
      (candidate) => candidate.id === (route?.prefillId ?? route?.endpointId),
    );
    const allowed =
      route !== undefined && endpoint !== undefined && rule.allows(work, route, endpoint);
    return allowed ? route : undefined;
  }

  /** Refuses everything that waits once no endpoint has been available for a while. */
  #noteAvailability(candidates: readonly EndpointView[]): boolean {
    const nowMs = this.#options.clock.nowMs();
    if (candidates.some((candidate) => candidate.available)) {
      this.#unavailableSinceMs = undefined;
      return true;
    }
    this.#unavailableSinceMs ??= nowMs;
    if (nowMs - this.#unavailableSinceMs > NO_ENDPOINT_PATIENCE_MS) {
      for (const requestId of this.#waiters.keys()) {
        this.#options.policy.withdraw(requestId);
        this.#settle(
          requestId,
          err(createFailure('NO_ENDPOINT', 'none is available', 'not_run', RETRY_AFTER_MS)),
        );
      }
    }
    return false;
  }

  #begin(work: Work, fingerprint: string, route: Route): DispatchTicket {
    const { router, clock } = this.#options;
    const attemptId = randomUUID();
    const sent = {
      attemptId,
      fingerprint,
      rank: RANKS.indexOf(work.rank),
      sentAtMs: clock.nowMs(),
    };
    const { promptTokens, outputTokens } = work;
    if (route.prefillId === undefined) {
      this.#count(route.endpointId, { ...sent, promptTokens, outputTokens });
    } else {
      this.#count(route.prefillId, { ...sent, promptTokens, outputTokens: 0 });
      this.#count(route.endpointId, { ...sent, promptTokens: 0, outputTokens });
    }
    router.noteSent(work, route);
    return { attemptId, route, priority: sent.rank };
  }

  #count(endpointId: string, sent: SentWork): void {
    const { registry, noteSent } = this.#options;
    registry.get(endpointId)?.state.begin(sent);
    noteSent({
      endpointId,
      rank: sent.rank,
      promptTokens: sent.promptTokens,
      sentAtMs: sent.sentAtMs,
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
