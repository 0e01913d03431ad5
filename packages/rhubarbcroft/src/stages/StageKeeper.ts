/**
 * The task that keeps a share of each group of engines on prefill. All nodes plan alike; each engine that is
 * to change has an owner among them, who claims the right to order it and sends one order.
 */
import type Logger from 'bunyan';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';
import chooseOwner from '../decisions/chooseOwner.js';
import PrefillSharePlanner from '../decisions/roles/PrefillSharePlanner.js';
import type EndpointProtocol from '../forwarding/EndpointProtocol.js';
import type InstanceRegistry from '../instances/InstanceRegistry.js';
import type InstanceState from '../instances/InstanceState.js';
import type RoutingHolder from '../routes/RoutingHolder.js';
import type Clock from '../supervision/Clock.js';
import PeriodicTask from '../supervision/PeriodicTask.js';
import type StageRight from './StageRight.js';
import type StageRights from './StageRights.js';

interface StageKeeperOptions {
  readonly registry: InstanceRegistry;
  readonly routing: RoutingHolder;
  readonly rights: StageRights;
  readonly protocol: EndpointProtocol;
  /** All nodes, this one included, by the addresses that they know one another by. */
  readonly listNodes: () => readonly string[];
  readonly address: string;
  readonly clock: Clock;
  readonly log: Logger;
}

const PERIOD_MS = 1_000;
const ORDER_TIMEOUT_MS = 1_000;
/** Half of the engines: prefill is the larger part of both users' work, and answers need slots of their own. */
const PREFILL_FRACTION = 0.5;
const MIN_DECODING = 2;
/** Longer than an entry of a crashed engine is missing before its next run registers. */
const SETTLE_MS = 4_000;
/** A change of stage takes 3 s on both users' engines, and an order may be carried out seconds late. */
const CHANGE_TIMEOUT_MS = 15_000;
const STATUS_OK = 200;
const STATUS_ACCEPTED = 202;

export default class StageKeeper extends PeriodicTask {
  override readonly name = 'stage-keeper';

  readonly #options: StageKeeperOptions;

  readonly #planners = new Map<string, PrefillSharePlanner>();

  /** Runs of engines that this node has claimed, or found claimed. */
  readonly #settled = new Set<InstanceState>();

  constructor(options: StageKeeperOptions) {
    super(options.clock, PERIOD_MS);
    this.#options = options;
  }

  protected override async runOnce(): Promise<void> {
    const services = this.#options.routing.current?.document.services ?? [];
    const staged = services.filter(({ engine }) => engine !== undefined);
    await Promise.all(staged.map(({ name }) => this.#keep(name)));
  }

  async #keep(service: string): Promise<void> {
    const { registry, listNodes, address, clock } = this.#options;
    const states = registry.listAvailable(service);
    const engines = states.flatMap(({ instance: { id, domain, stage } }) =>
      stage === undefined ? [] : [{ id, domain, stage }],
    );
    const chosen = this.#resolvePlanner(service).plan(engines, clock.nowMs());
    const nodes = listNodes();
    const own = states.filter(
      (state) =>
        chosen.includes(state.instance.id) &&
        !this.#settled.has(state) &&
        chooseOwner(state.instance.id, nodes) === address,
    );
    await Promise.all(own.map((state) => this.#change(state)));
  }

  async #change(state: InstanceState): Promise<void> {
    const { rights, log } = this.#options;
    const { instance } = state;
    const right = await rights.claim(instance);
    if (right.isErr) {
      const reason = describeFailure(right.error);
      log.info({ instance: instance.id, reason }, 'right to order not claimed; tried again');
      return;
    }
    this.#settled.add(state);
    if (right.value === undefined) {
      log.info({ instance: instance.id }, 'another node orders the engine');
      return;
    }
    const { holder, fence } = right.value;
    const outcome = await this.#order(state, { holder, fence });
    log.info({ instance: instance.id, stage: 'prefill', holder, fence, outcome }, 'order sent');
  }

  /** Sends the order once; what comes of a lost answer shows in the engine's own entry. */
  async #order(state: InstanceState, right: StageRight): Promise<string> {
    const { protocol } = this.#options;
    const call = protocol.writeStageOrder(state.instance, {
      right,
      stage: 'prefill',
      acceptedOrders: 0,
    });
    const connection = state.pool.take(false);
    const sent = await connection.send(call, AbortSignal.timeout(ORDER_TIMEOUT_MS));
    // The status says all; what the body may hold goes with the connection.
    connection.close();
    if (sent.isErr) {
      return `${sent.error.kind}: ${sent.error.detail}`;
    }
    const { status } = sent.value;
    return status === STATUS_OK || status === STATUS_ACCEPTED ? 'accepted' : `status ${status}`;
  }

  #resolvePlanner(service: string): PrefillSharePlanner {
    const known = this.#planners.get(service);
    if (known !== undefined) {
      return known;
    }
    const planner = new PrefillSharePlanner({
      prefillFraction: PREFILL_FRACTION,
      minDecoding: MIN_DECODING,
      settleMs: SETTLE_MS,
      changeTimeoutMs: CHANGE_TIMEOUT_MS,
    });
    this.#planners.set(service, planner);
    return planner;
  }
}
