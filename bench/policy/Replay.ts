/**
 * Replays one trace with one policy on a virtual clock: a discrete-event simulation with the stand-in's engine
 * model, delayed load reports, and role changes during which an engine is unavailable.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type Route from 'rhubarbcroft/decisions/routing/Route';
import type RoleChange from 'rhubarbcroft/decisions/roles/RoleChange';
import type DispatchNotice from 'rhubarbcroft/peers/DispatchNotice';
import type RolePlanner from 'rhubarbcroft/decisions/roles/RolePlanner';
import DEFAULT_ENGINE from '@rhubarbcroft/standins/engine/DEFAULT_ENGINE';
import RANKS from '@rhubarbcroft/protocol/ranks/RANKS';
import type PolicySpec from './PolicySpec.js';
import type RoleCount from './RoleCount.js';
import SimulatedEngine from './SimulatedEngine.js';
import SimulatedNode from './SimulatedNode.js';
import SimulatedRequest from './SimulatedRequest.js';
import type TraceKind from './TraceKind.js';
import type Trace from './Trace.js';
import VirtualClock from './VirtualClock.js';
import countRoles from './countRoles.js';
import computeDeadlineMs from './computeDeadlineMs.js';
import sumDemands from './sumDemands.js';
import createEngineViews from './createEngineViews.js';

const NETWORK_MS = 1;
const REPORT_MS = 500;
const REPORT_LAG_MS = 200;
const NOTICE_LAG_MS = 35;
const DISPATCH_MS = 20;
const PLAN_MS = 1_000;
const LEAVING_NOTICE_MS = 300;
const DRAIN_CHECK_MS = 250;
const WITHDRAWAL_HANDOVER_MS = 1_000;
const CHANGE_HANDOVER_MS = 8_000;
const KV_TRANSFER_MS_PER_TOKEN = 0.005;
const AFTER_TRACE_MS = 60_000;

export default class Replay {
  readonly requests: readonly SimulatedRequest[];

  readonly roleChanges: {
    readonly atMs: number;
    readonly engineId: string;
    readonly from: string;
    readonly to: string;
  }[] = [];

  readonly roleCounts: RoleCount[] = [];

  readonly #trace: Trace;

  readonly #spec: PolicySpec;

  readonly #clock = new VirtualClock();

  readonly #nodes: readonly SimulatedNode[];

  readonly #engines: readonly SimulatedEngine[];

  readonly #planner: RolePlanner;

  readonly #byId: ReadonlyMap<string, SimulatedRequest>;

  readonly #routes = new Map<string, Route>();

  readonly #priorities = new Map<string, number>();

  constructor(trace: Trace, spec: PolicySpec, seed: number) {
    const random = xoroshiro128plus(seed);
    const nodes = spec.central === true ? 1 : trace.nodes;
    this.#trace = trace;
    this.#spec = spec;
    this.#nodes = Array.from(
      { length: nodes },
      (_unused, index) =>
        new SimulatedNode(spec, trace, index, xoroshiro128plus(seed + index + 1), (notice) =>
          this.#notifyPeers(index, notice),
        ),
    );
    this.#engines = Array.from(
      { length: trace.engines },
      (_unused, index) => new SimulatedEngine(String(index)),
    );
    this.#planner = spec.createPlanner(trace.engines);
    const kinds = new Map(trace.kinds.map((kind) => [kind.name, kind]));
    this.requests = trace.requests.map((source, index) => {
      const kind = kinds.get(source.kind) as TraceKind;
      const node = uniformInt(random, 0, nodes - 1);
      return new SimulatedRequest(
        String(index),
        node,
        source,
        kind,
        computeDeadlineMs(trace, source),
      );
    });
    this.#byId = new Map(this.requests.map((request) => [request.id, request]));
  }

  run(): this {
    this.requests.forEach((request) => this.#at(request.source.atMs, () => this.#arrive(request)));
    this.#trace.withdrawals.forEach(({ atMs, engine }) =>
      this.#at(atMs, () => this.#withdraw(this.#engines[engine])),
    );
    const endMs = this.#trace.durationMs + AFTER_TRACE_MS;
    this.#clock.every(REPORT_MS, endMs, () => this.#report());
    this.#clock.every(DISPATCH_MS, endMs, () =>
      this.#nodes.forEach((node) => this.#dispatchWaiting(node)),
    );
    this.#clock.every(PLAN_MS, endMs, () => this.#plan());
    this.#clock.run();
    return this;
  }

  get #nowMs(): number {
    return this.#clock.nowMs;
  }

  #at(atMs: number, run: () => void): void {
    this.#clock.at(atMs, run);
  }

  #arrive(request: SimulatedRequest): void {
    const node = this.#nodes[request.node];
    if (node.offer(request.work, this.#nowMs)) {
      this.#dispatchWaiting(node);
    } else {
      request.refuse();
    }
  }

  #dispatchWaiting(node: SimulatedNode): void {
    if (node.waiting === 0) {
      return;
    }
    node.expire(this.#nowMs).forEach((work) => this.#byId.get(work.requestId)?.refuse());
    let next = node.takeNext(this.#nowMs);
    while (next !== undefined) {
      this.#priorities.set(next.work.requestId, RANKS.indexOf(next.work.rank));
      this.#dispatch(this.#byId.get(next.work.requestId) as SimulatedRequest, next.route);
      next = node.waiting === 0 ? undefined : node.takeNext(this.#nowMs);
    }
  }

  #dispatch(request: SimulatedRequest, route: Route): void {
    request.recordDispatch(this.#nowMs);
    this.#routes.set(request.id, route);
    const engine = this.#engines[Number(route.prefillId ?? route.endpointId)];
    this.#at(this.#nowMs + NETWORK_MS, () =>
      this.#submit(engine, request, route.prefillId !== undefined, false),
    );
  }

  #submit(
    engine: SimulatedEngine,
    request: SimulatedRequest,
    prefillOnly: boolean,
    imported: boolean,
  ): void {
    if (engine.changing) {
      this.#resumeElsewhere(request);
      return;
    }
    engine.model.submit({
      id: request.id,
      promptTokens: imported ? 0 : request.source.promptTokens,
      outputTokens: request.source.outputTokens,
      resumeFrom: request.tokens,
      priority: this.#spec.usesPriority ? (this.#priorities.get(request.id) ?? 0) : 0,
      prefixKeys: request.work.prefixKeys,
      prefillOnly,
    });
    this.#step(engine);
  }

  #step(engine: SimulatedEngine): void {
    const result = engine.beginStep();
    if (result === undefined) {
      return;
    }
    this.#at(this.#nowMs + result.durationMs, () => {
      engine.endStep();
      result.tokens.forEach(({ id }) => this.#byId.get(id)?.deliver(this.#nowMs));
      result.finishedIds.forEach((id) =>
        this.#finish(engine, this.#byId.get(id) as SimulatedRequest),
      );
      this.#step(engine);
    });
  }

  #finish(engine: SimulatedEngine, request: SimulatedRequest): void {
    const route = this.#routes.get(request.id);
    const node = this.#nodes[request.node];
    node.finish(request.id, engine.id);
    if (route?.prefillId === engine.id && !request.isComplete) {
      const delayMs = request.source.promptTokens * KV_TRANSFER_MS_PER_TOKEN + NETWORK_MS;
      const decode = this.#engines[Number(route.endpointId)];
      this.#at(this.#nowMs + delayMs, () => this.#submit(decode, request, false, true));
    }
    this.#dispatchWaiting(node);
  }

  /** Resumes a request of an engine that becomes unavailable at another engine, after its last token. */
  #resumeElsewhere(request: SimulatedRequest): void {
    const node = this.#nodes[request.node];
    const former = this.#routes.get(request.id);
    if (former !== undefined) {
      [former.endpointId, former.prefillId ?? former.endpointId].forEach((id) =>
        node.finish(request.id, id),
      );
    }
    const route = node.reroute(request.work, this.#nowMs);
    if (route !== undefined) {
      this.#dispatch(request, route);
    }
  }

  /** Delivers the notice of a dispatch to the other nodes after the notice period and the network delay. */
  #notifyPeers(from: number, notice: DispatchNotice): void {
    this.#at(this.#nowMs + NOTICE_LAG_MS, () => {
      this.#nodes
        .filter((_node, index) => index !== from)
        .forEach((node) => node.recordPeerDispatch(notice));
    });
  }

  #report(): void {
    for (const engine of this.#engines) {
      const report = {
        endpointId: engine.id,
        bootId: 'boot',
        role: engine.model.role,
        changing: engine.changing,
        leaving: engine.leaving,
        ageMs: REPORT_LAG_MS,
        ...engine.model.readLoad(),
        ...engine.model.readCapacity(),
      };
      this.#at(this.#nowMs + REPORT_LAG_MS, () =>
        this.#nodes.forEach((node) => node.offerReport(report, this.#nowMs)),
      );
    }
  }

  #plan(): void {
    this.roleCounts.push(countRoles(this.#engines, this.#nowMs));
    const demand = sumDemands(this.#nodes.map((node) => node.demand.read('model', this.#nowMs)));
    const changeInProgress = this.#engines.some((engine) => engine.roleChangeInProgress);
    const change = changeInProgress
      ? undefined
      : this.#planner.plan(createEngineViews(this.#engines), demand, this.#nowMs);
    if (change !== undefined) {
      this.#planner.recordChange(change, this.#nowMs);
      this.#changeRole(this.#engines[Number(change.engineId)], change);
    }
  }

  #withdraw(engine: SimulatedEngine): void {
    engine.leave();
    this.#drain(engine, WITHDRAWAL_HANDOVER_MS, () => undefined);
  }

  #changeRole(engine: SimulatedEngine, change: RoleChange): void {
    this.roleChanges.push({
      atMs: this.#nowMs,
      engineId: engine.id,
      from: engine.model.role,
      to: change.role,
    });
    engine.prepareChange();
    this.#drain(engine, CHANGE_HANDOVER_MS, () => {
      engine.beginChange();
      this.#at(this.#nowMs + DEFAULT_ENGINE.roleChangeMs, () => {
        engine.endChange(change.role, this.#nowMs);
        this.#nodes.forEach((node) => node.setLeaving(engine.id, false));
      });
    });
  }

  /** Stops new work, lets streams finish for `handoverAfterMs`, hands over the rest, then calls `whenIdle`. */
  #drain(engine: SimulatedEngine, handoverAfterMs: number, whenIdle: () => void): void {
    this.#at(this.#nowMs + LEAVING_NOTICE_MS, () =>
      this.#nodes.forEach((node) => node.setLeaving(engine.id, true)),
    );
    const untilMs = this.#nowMs + LEAVING_NOTICE_MS + handoverAfterMs;
    const checkIdle = (): void => {
      if (!engine.model.isIdle && this.#nowMs < untilMs) {
        this.#at(this.#nowMs + DRAIN_CHECK_MS, checkIdle);
        return;
      }
      const moved = engine.model.clear().map((id) => this.#byId.get(id) as SimulatedRequest);
      moved.forEach((request) => this.#resumeElsewhere(request));
      whenIdle();
    };
    this.#at(this.#nowMs + LEAVING_NOTICE_MS + DRAIN_CHECK_MS, checkIdle);
  }
}
