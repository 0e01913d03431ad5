/** An entry VM in a replay: the daemon's decision classes on top of the daemon's own state for each engine. */
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type EndpointView from 'rhubarbcroft/decisions/EndpointView';
import type Work from 'rhubarbcroft/decisions/Work';
import type AdmissionPolicy from 'rhubarbcroft/decisions/admission/AdmissionPolicy';
import type DispatchRule from 'rhubarbcroft/decisions/admission/DispatchRule';
import DemandMeter from 'rhubarbcroft/decisions/roles/DemandMeter';
import type Route from 'rhubarbcroft/decisions/routing/Route';
import type Router from 'rhubarbcroft/decisions/routing/Router';
import type DomainPosition from 'rhubarbcroft/membership/DomainPosition';
import EndpointState from 'rhubarbcroft/endpoints/EndpointState';
import RANKS from '@rhubarbcroft/protocol/ranks/RANKS';
import type LoadReport from '@rhubarbcroft/protocol/fleet/LoadReport';
import type DispatchedRequest from 'rhubarbcroft/endpoints/DispatchedRequest';
import type DispatchNotice from 'rhubarbcroft/peers/DispatchNotice';
import type PolicySpec from './PolicySpec.js';
import type Trace from './Trace.js';

type Notify = (notice: DispatchNotice) => void;

const MIXED_PREFILL_TOKENS_PER_S = 8_000;
const DECODE_TOKENS_PER_S = 1_600;
const MIXED_SLOTS = 32;

export default class SimulatedNode {
  readonly demand = new DemandMeter();

  readonly #admission: AdmissionPolicy;

  readonly #router: Router;

  readonly #dispatchRule: DispatchRule;

  readonly #states: readonly EndpointState[];

  readonly #leaving = new Set<string>();

  readonly #notify: Notify;

  readonly #place: DomainPosition;

  constructor(
    spec: PolicySpec,
    trace: Trace,
    index: number,
    random: RandomGenerator,
    notify: Notify,
  ) {
    this.#notify = notify;
    this.#place = { index, count: spec.central === true ? 1 : trace.nodes };
    this.#admission = spec.createAdmission(trace.kinds);
    this.#router = spec.createRouter(random);
    this.#dispatchRule = spec.createDispatchRule();
    this.#states = Array.from(
      { length: trace.engines },
      (_unused, engineIndex) =>
        new EndpointState(
          {
            id: String(engineIndex),
            kind: 'engine',
            url: 'http://127.0.0.1',
            domain: 'd',
            region: 'r',
            labels: {},
            fencing: 'checked',
            slots: MIXED_SLOTS,
            prefillTokensPerS: MIXED_PREFILL_TOKENS_PER_S,
            decodeTokensPerS: DECODE_TOKENS_PER_S,
          },
          0,
        ),
    );
  }

  get waiting(): number {
    return this.#admission.waiting;
  }

  /** Returns whether the work was admitted to the queue. */
  offer(work: Work, nowMs: number): boolean {
    this.demand.record(
      'model',
      this.#router.estimateUncachedTokens(work),
      work.outputTokens,
      nowMs,
    );
    return this.#admission.offer(work, nowMs).admitted;
  }

  expire(nowMs: number): readonly Work[] {
    return this.#admission.expire(nowMs);
  }

  /** Takes the next work that may be dispatched and records it as dispatched; undefined if there is none. */
  takeNext(nowMs: number): { readonly work: Work; readonly route: Route } | undefined {
    const views = this.#listViews(nowMs);
    let route: Route | undefined;
    const work = this.#admission.take(nowMs, (next) => {
      route = this.#findRoute(next, views);
      return route !== undefined;
    });
    if (work === undefined || route === undefined) {
      return undefined;
    }
    this.#recordDispatch(work, route, nowMs);
    return { work, route };
  }

  /** Chooses a route for work that must resume at another engine, and records it as dispatched. */
  reroute(work: Work, nowMs: number): Route | undefined {
    const route = this.#router.choose(work, this.#listViews(nowMs));
    if (route !== undefined) {
      this.#recordDispatch(work, route, nowMs);
    }
    return route;
  }

  finish(requestId: string, engineId: string): void {
    this.#states[Number(engineId)].endAttempt(requestId);
  }

  setLeaving(engineId: string, leaving: boolean): void {
    if (leaving) {
      this.#leaving.add(engineId);
    } else {
      this.#leaving.delete(engineId);
    }
  }

  recordPeerDispatch({ endpointId, ...dispatch }: DispatchNotice): void {
    this.#states[Number(endpointId)].recordPeerDispatch(dispatch);
  }

  offerReport(report: LoadReport, nowMs: number): void {
    this.#states[Number(report.endpointId)].offerReport(report, nowMs);
  }

  #findRoute(work: Work, views: readonly EndpointView[]): Route | undefined {
    const route = this.#router.choose(
      work,
      this.#dispatchRule.filter(work, views, this.#router.findCachedPrefixes(work, views)),
    );
    const endpoint = views.find((view) => view.id === (route?.prefillId ?? route?.endpointId));
    return route !== undefined &&
      endpoint !== undefined &&
      this.#dispatchRule.allows(work, route, endpoint)
      ? route
      : undefined;
  }

  #recordDispatch(work: Work, route: Route, nowMs: number): void {
    const rank = RANKS.indexOf(work.rank);
    const sent = { attemptId: work.requestId, fingerprint: '', rank, sentAtMs: nowMs };
    const { promptTokens, outputTokens } = work;
    if (route.prefillId === undefined) {
      this.#recordAttempt(route.endpointId, { ...sent, promptTokens, outputTokens });
    } else {
      this.#recordAttempt(route.prefillId, { ...sent, promptTokens, outputTokens: 0 });
      this.#recordAttempt(route.endpointId, { ...sent, promptTokens: 0, outputTokens });
    }
    this.#router.recordDispatch(work, route);
  }

  #recordAttempt(engineId: string, sent: DispatchedRequest): void {
    this.#states[Number(engineId)].beginAttempt(sent);
    this.#notify({
      endpointId: engineId,
      rank: sent.rank,
      promptTokens: sent.promptTokens,
      sentAtMs: sent.sentAtMs,
    });
  }

  #listViews(nowMs: number): readonly EndpointView[] {
    return this.#states.map((state) =>
      state.createView(nowMs, this.#leaving.has(state.declaration.id), this.#place),
    );
  }
}
