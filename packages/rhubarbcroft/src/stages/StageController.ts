/**
 * Periodic task that keeps a share of each group of engines in the prefill stage. All nodes compute the same
 * plan. For each engine that is to change, its owner among the nodes claims the right to order it and sends one
 * order.
 */
import type Logger from 'bunyan';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';
import chooseOwner from '../decisions/chooseOwner.js';
import PREFILL_FRACTION from '../decisions/roles/PREFILL_FRACTION.js';
import PrefillSharePlanner from '../decisions/roles/PrefillSharePlanner.js';
import type EndpointProtocol from '../forwarding/EndpointProtocol.js';
import recordAnswerHead from '../forwarding/recordAnswerHead.js';
import type InstanceRegistry from '../instances/InstanceRegistry.js';
import type InstanceState from '../instances/InstanceState.js';
import type CurrentRouting from '../routes/CurrentRouting.js';
import type Clock from '../supervision/Clock.js';
import PeriodicTask from '../supervision/PeriodicTask.js';
import type StageRight from './StageRight.js';
import type StageRights from './StageRights.js';

interface StageControllerOptions {
  readonly registry: InstanceRegistry;
  readonly routing: CurrentRouting;
  readonly rights: StageRights;
  readonly protocol: EndpointProtocol;
  /** Lists the addresses for peers of all known nodes, including this one. */
  readonly listNodes: () => readonly string[];
  /** This node's own address for peers. */
  readonly address: string;
  readonly clock: Clock;
  readonly log: Logger;
}

const PERIOD_MS = 1_000;
const ORDER_TIMEOUT_MS = 1_000;
/** A change takes 3 s, and the registration that shows it is up to a second late. */
const CHANGE_MS = 4_500;
const MIN_DECODE_ENGINES = 2;
/** Longer than the entry of a crashed engine is missing until its next run registers. */
const SETTLE_MS = 4_000;
/** A change of stage takes 3 s on both users' engines, and an engine may start on an order seconds late. */
const CHANGE_TIMEOUT_MS = 15_000;
const STATUS_OK = 200;
const STATUS_ACCEPTED = 202;

export default class StageController extends PeriodicTask {
  override readonly name = 'stage-keeper';

  readonly #options: StageControllerOptions;

  readonly #planners = new Map<string, PrefillSharePlanner>();

  /** Runs of engines whose right this node has claimed, or found claimed by another process. */
  readonly #handled = new Set<InstanceState>();

  constructor(options: StageControllerOptions) {
    super(options.clock, PERIOD_MS);
    this.#options = options;
  }

  protected override async runOnce(): Promise<void> {
    const services = this.#options.routing.current?.document.services ?? [];
    const engineServices = services.filter(({ engine }) => engine !== undefined);
    await Promise.all(engineServices.map(({ name }) => this.#reconcile(name)));
  }

  async #reconcile(service: string): Promise<void> {
    const { registry, listNodes, address, clock } = this.#options;
    const states = registry.listAvailable(service);
    const engines = states.flatMap(({ instance: { id, domain, stage, isSpot = false } }) =>
      stage === undefined ? [] : [{ id, domain, stage, isSpot }],
    );
    const nowMs = clock.nowMs();
    const isOrdered = this.#options.routing.current?.findService(service)?.scaling !== undefined;
    const chosenIds = this.#resolvePlanner(service).plan(engines, nowMs);
    if (isOrdered) {
      // Every node makes the same plan, so all of them stop dispatching to the engine.
      states
        .filter(({ instance }) => chosenIds.includes(instance.id))
        .forEach((state) => state.markChanging(nowMs + CHANGE_MS));
    }
    const nodes = listNodes();
    const owned = states.filter(
      (state) =>
        chosenIds.includes(state.instance.id) &&
        !this.#handled.has(state) &&
        chooseOwner(state.instance.id, nodes) === address,
    );
    await Promise.all(owned.map((state) => this.#changeStage(state)));
  }

  async #changeStage(state: InstanceState): Promise<void> {
    const { rights, log } = this.#options;
    const { instance } = state;
    const right = await rights.claim(instance);
    if (right.isErr) {
      const reason = describeFailure(right.error);
      log.info(
        { instance: instance.id, reason },
        'claim of the right to order the engine failed; retrying in the next period',
      );
      return;
    }
    this.#handled.add(state);
    if (right.value === undefined) {
      log.info(
        { instance: instance.id },
        'another process holds the right to order the engine; no order sent',
      );
      return;
    }
    const { holder, fence } = right.value;
    const outcome = await this.#sendOrder(state, { holder, fence });
    log.info(
      { instance: instance.id, stage: 'prefill', holder, fence, outcome },
      'order to change the stage sent; it is not repeated, whatever the outcome',
    );
  }

  /** Sends the order once. If the answer is lost, the engine's next registration shows whether it changed. */
  async #sendOrder(state: InstanceState, right: StageRight): Promise<string> {
    const { protocol } = this.#options;
    const call = protocol.buildStageOrderCall(state.instance, {
      right,
      stage: 'prefill',
      acceptedOrders: 0,
    });
    const connection = state.pool.acquire(false);
    const sent = await connection.send(call, AbortSignal.timeout(ORDER_TIMEOUT_MS));
    // Only the status is needed; closing the connection discards the body.
    connection.close();
    if (sent.isErr) {
      return `${sent.error.kind}: ${sent.error.detail}`;
    }
    const { status, rawHeaders } = sent.value;
    recordAnswerHead(this.#options, state, protocol.parseAnswerHead(status, rawHeaders));
    return status === STATUS_OK || status === STATUS_ACCEPTED ? 'accepted' : `status ${status}`;
  }

  #resolvePlanner(service: string): PrefillSharePlanner {
    const known = this.#planners.get(service);
    if (known !== undefined) {
      return known;
    }
    const planner = new PrefillSharePlanner({
      prefillFraction: PREFILL_FRACTION,
      minDecodeEngines: MIN_DECODE_ENGINES,
      shortageDelayMs: SETTLE_MS,
      changeTimeoutMs: CHANGE_TIMEOUT_MS,
    });
    this.#planners.set(service, planner);
    return planner;
  }
}
