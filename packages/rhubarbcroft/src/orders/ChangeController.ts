/**
 * The task of the lease holder that applies the operators' declared changes and the planner's role
 * changes, one engine of a group at a time.
 *
 * The engine is drained before a change: peers are notified to dispatch no new requests to it, the
 * dispatchers of running streams hand them over, and the order is sent once a load report from after the
 * start of the drain shows the engine idle. No request is interrupted this way.
 */
import type Logger from 'bunyan';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';
import type Fleet from '../configuration/Fleet.js';
import type CurrentFleet from '../configuration/CurrentFleet.js';
import type Demand from '../decisions/roles/Demand.js';
import type EngineView from '../decisions/roles/EngineView.js';
import type RolePlanner from '../decisions/roles/RolePlanner.js';
import type EndpointRegistry from '../endpoints/EndpointRegistry.js';
import type EngineOrder from '../endpoints/EngineOrder.js';
import type DrainRegistry from '../membership/DrainRegistry.js';
import type Clock from '../supervision/Clock.js';
import PeriodicTask from '../supervision/PeriodicTask.js';
import type IntentRepository from './IntentRepository.js';
import type Lease from './Lease.js';
import type OrderIssuer from './OrderIssuer.js';

interface ChangeControllerOptions {
  readonly lease: Lease;
  readonly issuer: OrderIssuer;
  readonly intents: IntentRepository;
  readonly currentFleet: CurrentFleet;
  readonly registry: EndpointRegistry;
  readonly drains: DrainRegistry;
  readonly publishDrains: () => void;
  readonly createPlanner: () => RolePlanner;
  readonly readDemand: (model: string) => Demand;
  readonly domain: string;
  readonly clock: Clock;
  readonly log: Logger;
  readonly planMs: number;
}

interface PendingChange {
  readonly engineId: string;
  readonly order: EngineOrder;
}

/** How long a published drain is valid; it is renewed until the order is finished. */
const DRAIN_VALIDITY_MS = 3_000;
/** Resuming a stream on another engine recomputes its prompt, so short streams are left to finish. */
const HANDOVER_AFTER_MS = 8_000;
const DRAIN_POLL_MS = 250;
const MAX_DRAIN_MS = 120_000;

const MS_PER_S = 1_000;

function sumTokens(tokens: readonly number[]): number {
  return tokens.reduce((sum, each) => sum + each, 0);
}

export default class ChangeController extends PeriodicTask {
  override readonly name = 'change-controller';

  readonly #options: ChangeControllerOptions;

  readonly #planners = new Map<string, RolePlanner>();

  readonly #roleSinceMs = new Map<string, number>();

  #settledEpoch = 0;

  #current: PendingChange | undefined;

  constructor(options: ChangeControllerOptions) {
    super(options.clock, options.planMs);
    this.#options = options;
  }

  override dumpState(): unknown {
    return { current: this.#current ?? null, settledEpoch: this.#settledEpoch };
  }

  protected override async runOnce(signal: AbortSignal): Promise<void> {
    const { lease, currentFleet } = this.#options;
    const fleet = currentFleet.current;
    const { authority } = lease;
    if (fleet === undefined || authority === undefined) {
      return;
    }
    if (this.#settledEpoch !== authority.epoch) {
      const settled = await this.#settlePreviousOrders(fleet, signal);
      this.#settledEpoch = settled ? authority.epoch : 0;
    }
    const pending = (await this.#findDeclaredChange(fleet)) ?? this.#findPlannedChange(fleet);
    if (pending !== undefined) {
      this.#current = pending;
      await this.#applyChange(pending, signal);
      this.#current = undefined;
    }
  }

  #listEngineIds(fleet: Fleet): readonly string[] {
    return fleet.document.endpoints
      .filter((endpoint) => endpoint.kind === 'engine' && endpoint.domain === this.#options.domain)
      .map((endpoint) => endpoint.id);
  }

  /**
   * Finishes the orders that a previous lease holder left open, and returns whether none is left. The
   * controller calls it again on its next run until that is so.
   */
  async #settlePreviousOrders(fleet: Fleet, signal: AbortSignal): Promise<boolean> {
    const { issuer, log } = this.#options;
    let complete = true;
    for (const engineId of this.#listEngineIds(fleet)) {
      const settled = await issuer.settleOpenIntent(engineId, signal);
      if (settled.isErr) {
        complete = false;
        log.warn(
          { engine: engineId, reason: describeFailure(settled.error) },
          'failed to settle the open order of a previous lease holder; retrying',
        );
      } else if (settled.value.blockedBy !== undefined) {
        log.warn(
          { engine: engineId, issuer: settled.value.blockedBy.issuer },
          'previous lease holder may still send its order; no other order is sent to the engine',
        );
        complete = false;
      }
    }
    return complete;
  }

  /** Returns the first declared change to an engine of this domain that is not in effect yet. */
  async #findDeclaredChange(fleet: Fleet): Promise<PendingChange | undefined> {
    const ownIds = new Set(this.#listEngineIds(fleet));
    for (const change of fleet.document.changes.filter(({ endpoint }) => ownIds.has(endpoint))) {
      const order = ChangeController.#createOrder(change);
      if (order !== undefined && !(await this.#isInEffect(change.endpoint, order))) {
        return { engineId: change.endpoint, order };
      }
    }
    return undefined;
  }

  static #createOrder(change: Fleet['document']['changes'][number]): EngineOrder | undefined {
    if (change.action === 'role' && change.role !== undefined) {
      return { type: 'role', role: change.role };
    }
    if (change.action === 'model' && change.model !== undefined) {
      return { type: 'model', model: change.model, modelVersion: change.modelVersion ?? '' };
    }
    return undefined;
  }

  /**
   * An engine without a load report, or one that is changing, needs no action now and counts as in
   * effect.
   */
  async #isInEffect(engineId: string, order: EngineOrder): Promise<boolean> {
    const { registry, intents } = this.#options;
    const report = registry.get(engineId)?.state.report;
    if (report === undefined || report.changing) {
      return true;
    }
    if (order.type === 'role') {
      return report.role === order.role;
    }
    const entry = await intents.read(engineId);
    const lastIntent = entry.isOk ? entry.value.intent : undefined;
    const isSameOrder =
      lastIntent !== undefined && JSON.stringify(lastIntent.order) === JSON.stringify(order);
    return entry.isErr || (isSameOrder && lastIntent.outcome === 'done');
  }

  #findPlannedChange(fleet: Fleet): PendingChange | undefined {
    const { clock, readDemand, domain } = this.#options;
    const pinned = new Set(fleet.document.changes.map((change) => change.endpoint));
    for (const model of fleet.document.models.filter(({ plannedRoles }) => plannedRoles)) {
      const ids = fleet
        .findEndpoints('engine', model.where, '')
        .filter((endpoint) => endpoint.domain === domain && !pinned.has(endpoint.id))
        .map((endpoint) => endpoint.id);
      const planner = this.#resolvePlanner(model.name);
      const nowMs = clock.nowMs();
      const change = planner.plan(this.#describeEngines(ids), readDemand(model.name), nowMs);
      if (change !== undefined) {
        planner.recordChange(change, nowMs);
        return { engineId: change.engineId, order: { type: 'role', role: change.role } };
      }
    }
    return undefined;
  }

  #describeEngines(ids: readonly string[]): readonly EngineView[] {
    const { registry } = this.#options;
    return registry.listViews(ids).map((view) => ({
      id: view.id,
      role: view.role,
      available: view.available,
      changing: registry.get(view.id)?.state.report?.changing ?? false,
      running: view.reportedRunning,
      backlogMs: sumTokens(view.reportedPromptTokens) / (view.prefillTokensPerS / MS_PER_S),
      slotUtilization: view.reportedRunning / view.slots,
      roleSinceMs: this.#roleSinceMs.get(view.id) ?? -Infinity,
    }));
  }

  #resolvePlanner(model: string): RolePlanner {
    const planner = this.#planners.get(model) ?? this.#options.createPlanner();
    this.#planners.set(model, planner);
    return planner;
  }

  async #applyChange({ engineId, order }: PendingChange, signal: AbortSignal): Promise<void> {
    const { issuer, log, clock } = this.#options;
    if (!(await this.#drain(engineId, signal))) {
      log.warn({ engine: engineId }, 'engine not idle after draining; change postponed');
      return;
    }
    const finished = new AbortController();
    const draining = this.#keepDraining(engineId, finished.signal);
    const outcome = await issuer.issue(engineId, order, signal);
    finished.abort();
    await draining;
    this.#roleSinceMs.set(engineId, clock.nowMs());
    if (outcome.isErr) {
      log.warn(
        { engine: engineId, order, reason: describeFailure(outcome.error) },
        'engine order did not finish',
      );
    } else {
      log.info({ engine: engineId, order, outcome: outcome.value }, 'engine order finished');
    }
  }

  /**
   * Stops new dispatches to the engine and waits until a load report shows it idle. Only a report that is
   * newer than two poll periods after the start counts. Returns false when the engine stays busy, the lease
   * expires or the signal aborts.
   */
  async #drain(engineId: string, signal: AbortSignal): Promise<boolean> {
    const { clock, registry, lease } = this.#options;
    const startedAtMs = clock.nowMs();
    const settledAtMs = startedAtMs + DRAIN_POLL_MS * 2;
    while (!signal.aborted && lease.authority !== undefined) {
      this.#publishDrain(engineId);
      const state = registry.get(engineId)?.state;
      const isFresh = state !== undefined && state.reportedAtMs > settledAtMs;
      if (isFresh && state.report?.running === 0 && state.inFlight.length === 0) {
        return true;
      }
      if (clock.nowMs() - startedAtMs > MAX_DRAIN_MS) {
        return false;
      }
      await clock.sleep(DRAIN_POLL_MS, signal);
    }
    return false;
  }

  /** Renews the published drain until the signal aborts. */
  async #keepDraining(engineId: string, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#publishDrain(engineId);
      await this.#options.clock.sleep(DRAIN_VALIDITY_MS / 3, signal);
    }
  }

  #publishDrain(engineId: string): void {
    this.#options.drains.record({
      endpointId: engineId,
      remainingMs: DRAIN_VALIDITY_MS,
      handoverAfterMs: HANDOVER_AFTER_MS,
    });
    this.#options.publishDrains();
  }
}
