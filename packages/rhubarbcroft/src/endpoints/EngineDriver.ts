/** The client of one model engine. Subclasses implement a protocol. */
import type Result from 'true-myth/result';
import type LoadReport from '@rhubarbcroft/protocol/fleet/LoadReport';
import type AttemptFailure from './AttemptFailure.js';
import type EngineOrder from './EngineOrder.js';
import type EngineRequest from './EngineRequest.js';
import type EngineStream from './EngineStream.js';
import type OrderStatus from './OrderStatus.js';

abstract class EngineDriver {
  /** Starts a generation and returns its stream of events. */
  abstract openStream(
    request: EngineRequest,
    signal: AbortSignal,
  ): Promise<Result<EngineStream, AttemptFailure>>;

  /** Has the engine compute the KV cache of a prompt; returns the handle under which another engine can fetch it. */
  abstract prefill(
    request: EngineRequest,
    signal: AbortSignal,
  ): Promise<Result<string, AttemptFailure>>;

  /** Asks the engine to stop an attempt; best effort, errors are ignored. */
  abstract cancel(attemptId: string): Promise<void>;

  abstract readLoad(): Promise<Result<LoadReport, AttemptFailure>>;

  /** Sends an order once. `epoch` is the sender's fencing number; engines that check it refuse an outdated one. */
  abstract sendOrder(
    orderId: string,
    epoch: number,
    order: EngineOrder,
  ): Promise<Result<OrderStatus, AttemptFailure>>;

  abstract readOrder(orderId: string): Promise<Result<OrderStatus, AttemptFailure>>;

  /** Closes all connections; requests in flight fail. */
  abstract close(): Promise<void>;
}

export default EngineDriver;
