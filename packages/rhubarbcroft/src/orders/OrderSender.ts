/** Sends an order to its engine and polls the engine until it reports the outcome. */
import type EndpointRegistry from '../endpoints/EndpointRegistry.js';
import type OrderStatus from '../endpoints/OrderStatus.js';
import type Clock from '../supervision/Clock.js';
import type Intent from './Intent.js';
import type Lease from './Lease.js';

interface OrderCourierOptions {
  readonly lease: Lease;
  readonly registry: EndpointRegistry;
  readonly clock: Clock;
}

type Outcome = NonNullable<Intent['outcome']>;

const STATUS_POLL_MS = 250;
const STATUS_TIMEOUT_MS = 60_000;
const UNKNOWN_POLLS_BEFORE_RESEND = 8;

function isFinal(status: OrderStatus): status is 'done' | 'failed' | 'refused' {
  return status === 'done' || status === 'failed' || status === 'refused';
}

export default class OrderSender {
  readonly #options: OrderCourierOptions;

  constructor(options: OrderCourierOptions) {
    this.#options = options;
  }

  /** Sends the order once; returns `unknown` when no valid response was received. */
  async send(engineId: string, intent: Intent, epoch: number): Promise<OrderStatus> {
    const engine = this.#options.registry.get(engineId)?.engine;
    const sent = await engine?.sendOrder(intent.orderId, epoch, intent.order);
    return sent?.isOk === true ? sent.value : 'unknown';
  }

  /**
   * Polls the status of an order until it is final. Returns undefined when the engine reports no final
   * status within `STATUS_TIMEOUT_MS` or the signal aborts. An engine that has restarted and does not
   * know the order has lost it, which counts as failed.
   */
  async follow(
    engineId: string,
    intent: Intent,
    firstStatus: OrderStatus,
    epoch: number,
    signal: AbortSignal,
  ): Promise<Outcome | undefined> {
    const { clock } = this.#options;
    const bootId = this.#readBootId(engineId);
    const untilMs = clock.nowMs() + STATUS_TIMEOUT_MS;
    let status = firstStatus;
    let unknownPolls = 0;
    while (!isFinal(status) && clock.nowMs() < untilMs && !signal.aborted) {
      await clock.sleep(STATUS_POLL_MS, signal);
      status = await this.#readStatus(engineId, intent.orderId);
      unknownPolls = status === 'unknown' ? unknownPolls + 1 : 0;
      if (status === 'unknown' && this.#readBootId(engineId) !== bootId) {
        return 'failed';
      }
      if (unknownPolls === UNKNOWN_POLLS_BEFORE_RESEND) {
        status = await this.#resend(engineId, intent, epoch);
      }
    }
    return isFinal(status) ? status : undefined;
  }

  #readBootId(engineId: string): string | undefined {
    return this.#options.registry.get(engineId)?.state.report?.bootId;
  }

  /** An engine that does not respond is assumed to be still executing the order. */
  async #readStatus(engineId: string, orderId: string): Promise<OrderStatus> {
    const read = await this.#options.registry.get(engineId)?.engine?.readOrder(orderId);
    return read?.isOk === true ? read.value : 'running';
  }

  /**
   * Sends the order again under the same id, by which an engine that has it already recognizes the
   * duplicate.
   */
  async #resend(engineId: string, intent: Intent, epoch: number): Promise<OrderStatus> {
    return this.#options.lease.authority?.epoch === epoch
      ? this.send(engineId, intent, epoch)
      : 'unknown';
  }
}
