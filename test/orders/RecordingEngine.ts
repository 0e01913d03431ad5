/** An engine that executes every order immediately, ignores fencing tokens and records the orders. */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type AttemptFailure from 'rhubarbcroft/endpoints/AttemptFailure';
import EngineDriver from 'rhubarbcroft/endpoints/EngineDriver';
import type EngineOrder from 'rhubarbcroft/endpoints/EngineOrder';
import type OrderStatus from 'rhubarbcroft/endpoints/OrderStatus';

const NOT_SERVED: AttemptFailure = {
  kind: 'unsent',
  detail: 'RecordingEngine accepts only orders',
};

export default class RecordingEngine extends EngineDriver {
  #orders: readonly string[] = [];

  /** The received orders in their sequence, each as `epoch role`. */
  get orders(): readonly string[] {
    return this.#orders;
  }

  override async openStream(): ReturnType<EngineDriver['openStream']> {
    return err(NOT_SERVED);
  }

  override async prefill(): ReturnType<EngineDriver['prefill']> {
    return err(NOT_SERVED);
  }

  override async cancel(): Promise<void> {
    // This engine never runs a request.
  }

  override async readLoad(): ReturnType<EngineDriver['readLoad']> {
    return err(NOT_SERVED);
  }

  override async sendOrder(
    _orderId: string,
    epoch: number,
    order: EngineOrder,
  ): Promise<Result<OrderStatus, AttemptFailure>> {
    this.#orders = [...this.#orders, `${epoch} ${order.type === 'role' ? order.role : order.type}`];
    return ok('done');
  }

  override async readOrder(): Promise<Result<OrderStatus, AttemptFailure>> {
    return ok('done');
  }

  override async close(): Promise<void> {
    // This engine holds no resources.
  }
}
