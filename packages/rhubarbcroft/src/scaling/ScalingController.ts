/**
 * Periodic task that orders the replicas of services by need, for the failure domains whose lease this node holds. Each
 * holder plans for all domains from the same reports and registrations, and orders for its own.
 */
import type Logger from 'bunyan';
import DemandRates from '../decisions/scaling/DemandRates.js';
import OrderLedger from '../decisions/scaling/OrderLedger.js';
import type ReplicaSupply from '../decisions/scaling/ReplicaSupply.js';
import type ReplicaTarget from '../decisions/scaling/ReplicaTarget.js';
import type ScalingPlan from '../decisions/scaling/ScalingPlan.js';
import type ScalingPlanner from '../decisions/scaling/ScalingPlanner.js';
import SpotScalingPlanner from '../decisions/scaling/SpotScalingPlanner.js';
import estimateEngineNeed from '../decisions/scaling/estimateEngineNeed.js';
import type EngineSpeeds from '../decisions/placement/EngineSpeeds.js';
import type DemandReports from '../duties/DemandReports.js';
import type DutyCalls from '../duties/DutyCalls.js';
import type DutyRights from '../duties/DutyRights.js';
import createScalingSubject from '../duties/createScalingSubject.js';
import type InstanceRegistry from '../instances/InstanceRegistry.js';
import type CurrentRouting from '../routes/CurrentRouting.js';
import type EngineLimits from '../routes/EngineLimits.js';
import type ScalingLimits from '../routes/ScalingLimits.js';
import type Clock from '../supervision/Clock.js';
import PeriodicTask from '../supervision/PeriodicTask.js';
import type Metrics from '../telemetry/Metrics.js';
import listSupplies from './listSupplies.js';

interface ScalingControllerOptions {
  readonly routing: CurrentRouting;
  readonly registry: InstanceRegistry;
  readonly speeds: EngineSpeeds;
  readonly reports: DemandReports;
  readonly rights: DutyRights;
  readonly calls: DutyCalls;
  /** Calls that the platform accepts per second from all nodes together. */
  readonly callsPerS: number;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly log: Logger;
}

/** A service whose replicas are ordered. */
interface ScaledService {
  readonly name: string;
  readonly engine: EngineLimits;
  readonly scaling: ScalingLimits;
}

/** The decisions about one service. */
interface ServiceState {
  readonly planner: ScalingPlanner;
  readonly ledger: OrderLedger;
}

/** A reclaim leaves two seconds. */
const PERIOD_MS = 500;
/** A plan is made again at once when the platform has none of the replicas that were ordered. */
const MAX_PLANS = 2;
/** Leaves most of the platform's rate to the other duties. */
const MAX_CALLS_SHARE = 0.5;
const SAMPLE_TOKENS = 1_000;
const DEFAULT_SLOTS = 64;

export default class ScalingController extends PeriodicTask {
  override readonly name = 'replica-scaling';

  readonly #options: ScalingControllerOptions;

  readonly #rates = new DemandRates();

  readonly #services = new Map<string, ServiceState>();

  constructor(options: ScalingControllerOptions) {
    super(options.clock, PERIOD_MS);
    this.#options = options;
  }

  protected override async runOnce(): Promise<void> {
    const { routing, reports, clock } = this.#options;
    this.#rates.update(reports.list(), clock.nowMs());
    const services = routing.current?.document.services ?? [];
    await Promise.all(
      services.flatMap(({ name, engine, scaling }) =>
        engine === undefined || scaling === undefined
          ? []
          : [this.#scale({ name, engine, scaling })],
      ),
    );
  }

  async #scale(service: ScaledService): Promise<void> {
    for (let plans = 0; plans < MAX_PLANS; plans += 1) {
      if (!(await this.#planAndOrder(service))) {
        return;
      }
    }
  }

  /** Plans and sends what has changed. Resolves with whether some replicas were not to be had. */
  async #planAndOrder(service: ScaledService): Promise<boolean> {
    const { clock, metrics, callsPerS } = this.#options;
    const { name, scaling } = service;
    const state = this.#resolveState(name);
    if (!this.#adoptRights(service, state.ledger)) {
      return false;
    }
    const nowMs = clock.nowMs();
    const supplies = listSupplies(this.#options.registry, service, state.ledger, nowMs);
    const need = this.#estimateNeed(service);
    const plan = state.planner.plan({ nowMs, limits: scaling, need, supplies });
    metrics.gauge('replicas_needed', plan.kept);
    metrics.gauge('replicas_planned', plan.total);
    metrics.gauge(
      'replicas_ready',
      supplies.reduce((sum, { ready }) => sum + ready, 0),
    );
    const maxCalls = Math.max(1, Math.floor(callsPerS * MAX_CALLS_SHARE));
    const sent = plan.targets
      .filter((target) => this.#findOrder(service, target, supplies) !== undefined)
      .slice(0, maxCalls)
      .map((target) => this.#order(service, target, supplies, plan));
    return (await Promise.all(sent)).includes('unavailable');
  }

  /** Prepares the ledger for the domains that this node may order for. Returns whether there are any. */
  #adoptRights({ name, scaling }: ScaledService, ledger: OrderLedger): boolean {
    const { rights } = this.#options;
    const held = Object.keys(scaling.pricesByDomain).flatMap((domain) => {
      const right = rights.findRight(createScalingSubject({ service: name, domain }));
      return right === undefined ? [] : [{ domain, fence: right.fence }];
    });
    held.forEach(({ domain, fence }) => ledger.adopt(domain, fence));
    return held.length > 0;
  }

  #estimateNeed({ name, engine: { kvCapacityTokens } }: ScaledService): number {
    const { speeds, registry } = this.#options;
    const slots = registry.listAvailable(name).map(({ instance }) => instance.slots);
    return estimateEngineNeed(this.#rates.read(name), {
      prefillMsPerToken: speeds.estimatePrefillMs('prefill', SAMPLE_TOKENS, 0) / SAMPLE_TOKENS,
      slots: slots.length === 0 ? DEFAULT_SLOTS : Math.min(...slots),
      kvCapacityTokens,
    });
  }

  /** The count to order; undefined when there is nothing to order or this node has no right to. */
  #findOrder(
    { name, scaling }: ScaledService,
    target: ReplicaTarget,
    supplies: readonly ReplicaSupply[],
  ): number | undefined {
    const right = this.#options.rights.findRight(
      createScalingSubject({ service: name, domain: target.domain }),
    );
    const supply = supplies.find(
      ({ domain, isSpot }) => domain === target.domain && isSpot === target.isSpot,
    );
    return (
      right &&
      this.#resolveState(name).ledger.findOrder(
        target,
        { ready: supply?.ready ?? 0, bootMs: scaling.bootMs },
        this.#options.clock.nowMs(),
      )
    );
  }

  async #order(
    service: ScaledService,
    target: ReplicaTarget,
    supplies: readonly ReplicaSupply[],
    plan: ScalingPlan,
  ): Promise<string> {
    const { rights, calls, clock, log } = this.#options;
    const { domain, isSpot } = target;
    const right = rights.findRight(createScalingSubject({ service: service.name, domain }));
    const count = this.#findOrder(service, target, supplies);
    if (right === undefined || count === undefined) {
      return 'not sent';
    }
    const order = { service: service.name, domain, count, isSpot };
    const outcome = await calls.orderReplicas(order, right);
    const nowMs = clock.nowMs();
    this.#resolveState(service.name).ledger.record(
      { domain, isSpot, count },
      outcome,
      right,
      nowMs,
    );
    const { kept, total } = plan;
    const supply = supplies.find((known) => known.domain === domain && known.isSpot === isSpot);
    log.info(
      {
        ...order,
        outcome,
        needed: kept,
        planned: total,
        ready: supply?.ready,
        orderedBefore: supply?.ordered,
        demand: this.#rates.read(service.name),
        demandAgeMs: Math.round(this.#rates.readAgeMs(nowMs)),
        fence: right.fence,
      },
      'replicas ordered',
    );
    return outcome;
  }

  #resolveState(service: string): ServiceState {
    const known = this.#services.get(service);
    const state = known ?? { planner: new SpotScalingPlanner(), ledger: new OrderLedger() };
    this.#services.set(service, state);
    return state;
  }
}
