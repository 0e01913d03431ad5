/**
 * Issues orders to engines so that no engine ever executes conflicting ones.
 *
 * The intent row is written before the order is sent and closed once the outcome is known. A new lease
 * holder that finds an open intent adopts the same order under its own epoch. An engine that checks fencing
 * tokens then refuses any order that the previous holder may still send. To an engine that ignores them, no
 * different order is sent until the previous holder has closed its intent or has certainly ended.
 */
import { randomUUID } from 'node:crypto';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type EndpointRegistry from '../endpoints/EndpointRegistry.js';
import type EngineOrder from '../endpoints/EngineOrder.js';
import type Clock from '../supervision/Clock.js';
import type Authority from './Authority.js';
import type Intent from './Intent.js';
import type IntentRepository from './IntentRepository.js';
import type IssuerLiveness from './IssuerLiveness.js';
import type Lease from './Lease.js';
import OrderSender from './OrderSender.js';

interface OrderIssuerOptions {
  readonly lease: Lease;
  readonly intents: IntentRepository;
  readonly issuers: IssuerLiveness;
  readonly registry: EndpointRegistry;
  readonly clock: Clock;
  readonly issuer: string;
}

type Outcome = NonNullable<Intent['outcome']>;

const CLOSE_RETRY_MS = 1_000;

function isSameOrder(a: EngineOrder, b: EngineOrder): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

export default class OrderIssuer {
  readonly #options: OrderIssuerOptions;

  readonly #sender: OrderSender;

  constructor(options: OrderIssuerOptions) {
    this.#options = options;
    this.#sender = new OrderSender(options);
  }

  /**
   * Writes the intent, sends the order, waits for its outcome and closes the intent. Fails with `LEASE_LOST`
   * when this process does not hold the lease, `ORDER_STALLED` when a previous holder may still send a
   * different order or the engine reports no outcome, and `ORDER_REFUSED` when the engine refuses the order.
   */
  async issue(
    engineId: string,
    order: EngineOrder,
    signal: AbortSignal,
  ): Promise<Result<Outcome, Failure>> {
    const { intents, lease, issuer } = this.#options;
    const { authority } = lease;
    if (authority === undefined) {
      return err(createFailure('LEASE_LOST', 'this node does not hold the lease of its domain'));
    }
    const settled = await this.settleOpenIntent(engineId, signal);
    if (settled.isErr) {
      return err(settled.error);
    }
    if (
      settled.value.blockedBy !== undefined &&
      !isSameOrder(settled.value.blockedBy.order, order)
    ) {
      return err(
        createFailure(
          'ORDER_STALLED',
          `previous lease holder ${settled.value.blockedBy.issuer} may still send a different order to ${engineId}`,
        ),
      );
    }
    if (settled.value.blockedBy !== undefined) {
      return ok('done');
    }
    const intent: Intent = {
      orderId: randomUUID(),
      epoch: authority.epoch,
      issuer,
      order,
      state: 'open',
    };
    const opened = await intents.open(engineId, settled.value.version, intent, authority);
    if (opened.isErr) {
      return err(opened.error);
    }
    return this.#sendAndClose(engineId, opened.value, intent, signal);
  }

  /**
   * Finishes an open intent of this process or of a previous holder. Returns the version of the intent row;
   * `blockedBy` is the open intent if a previous holder may still send its order to an engine that ignores
   * fencing tokens.
   */
  async settleOpenIntent(
    engineId: string,
    signal: AbortSignal,
  ): Promise<
    Result<{ readonly version: number; readonly blockedBy: Intent | undefined }, Failure>
  > {
    const { intents, issuers, lease, issuer, registry } = this.#options;
    const entry = await intents.read(engineId);
    const { authority } = lease;
    if (entry.isErr || authority === undefined) {
      return err(
        entry.isErr
          ? entry.error
          : createFailure('LEASE_LOST', 'this node does not hold the lease of its domain'),
      );
    }
    const { version, intent } = entry.value;
    if (intent === undefined || intent.state === 'closed') {
      return ok({ version, blockedBy: undefined });
    }
    const fenced = registry.get(engineId)?.state.declaration.fencing === 'checked';
    if (fenced || intent.issuer === issuer || issuers.isGone(intent.issuer)) {
      return this.#adopt(engineId, version, intent, authority, signal);
    }
    const status = await this.#sender.send(engineId, intent, authority.epoch);
    await this.#sender.follow(engineId, intent, status, authority.epoch, signal);
    return ok({ version, blockedBy: intent });
  }

  /** Takes over an open intent under this process's epoch, then sends its order and closes it. */
  async #adopt(
    engineId: string,
    version: number,
    intent: Intent,
    authority: Authority,
    signal: AbortSignal,
  ): Promise<Result<{ readonly version: number; readonly blockedBy: undefined }, Failure>> {
    const { intents, issuer } = this.#options;
    const adopted: Intent = { ...intent, epoch: authority.epoch, issuer };
    const opened = await intents.open(engineId, version, adopted, authority);
    if (opened.isErr) {
      return err(opened.error);
    }
    const settled = await this.#sendAndClose(engineId, opened.value, adopted, signal);
    return settled.map(() => ({ version: opened.value + 1, blockedBy: undefined }));
  }

  async #sendAndClose(
    engineId: string,
    version: number,
    intent: Intent,
    signal: AbortSignal,
  ): Promise<Result<Outcome, Failure>> {
    const { lease } = this.#options;
    if (lease.authority?.epoch !== intent.epoch) {
      await this.#close(engineId, version, intent, 'unsent', signal);
      return err(createFailure('LEASE_LOST', 'the lease was lost before the order was sent'));
    }
    const sent = await this.#sender.send(engineId, intent, intent.epoch);
    const outcome = await this.#sender.follow(engineId, intent, sent, intent.epoch, signal);
    if (outcome === undefined) {
      return err(
        createFailure(
          'ORDER_STALLED',
          `${engineId} reported no final status of the order, so its outcome is unknown`,
          'unknown',
        ),
      );
    }
    await this.#close(engineId, version, intent, outcome, signal);
    return outcome === 'refused' ? err(createFailure('ORDER_REFUSED', engineId)) : ok(outcome);
  }

  /**
   * Closes an intent, retrying through outages of the table: an intent left open can block the next
   * holder.
   */
  async #close(
    engineId: string,
    version: number,
    intent: Intent,
    outcome: Outcome,
    signal: AbortSignal,
  ): Promise<void> {
    const { intents, clock } = this.#options;
    let closed = await intents.close(engineId, version, intent, outcome);
    while (closed.isErr && !signal.aborted) {
      await clock.sleep(CLOSE_RETRY_MS, signal);
      closed = await intents.close(engineId, version, intent, outcome);
    }
  }
}
