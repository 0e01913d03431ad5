/**
 * `POST /v1/drains`: stops new work to an endpoint immediately, even while the platform is unreachable. The
 * drain is sent to all peers and expires after `durationMs`; a permanent drain belongs in the fleet document.
 */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import { z } from 'zod';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type HttpExchange from '../callers/HttpExchange.js';
import OperatorHandler from './OperatorHandler.js';
import readJsonBody from './readJsonBody.js';

/** How long running streams may continue at the endpoint before they are handed over. */
const HANDOVER_AFTER_MS = 1_000;
const DEFAULT_DRAIN_MS = 3_600_000;

const bodySchema = z.strictObject({
  endpoint: z.string(),
  durationMs: z.int().positive().default(DEFAULT_DRAIN_MS),
});

export default class DrainHandler extends OperatorHandler {
  protected override async answer(
    { body: incoming }: HttpExchange,
    operator: string,
  ): Promise<Result<unknown, Failure>> {
    const { drains, currentFleet, log, publishDrains } = this.context;
    const body = await readJsonBody(incoming, bodySchema);
    if (body.isErr) {
      return err(body.error);
    }
    const { endpoint, durationMs } = body.value;
    if (currentFleet.current?.endpointsById.has(endpoint) !== true) {
      return err(
        createFailure('NOT_FOUND', `the fleet document in force has no endpoint "${endpoint}"`),
      );
    }
    drains.record({
      endpointId: endpoint,
      remainingMs: durationMs,
      handoverAfterMs: HANDOVER_AFTER_MS,
    });
    publishDrains();
    log.info(
      { endpoint, durationMs, operator },
      'operator drained an endpoint; it gets no new work until the drain expires',
    );
    return ok({ drains: drains.list() });
  }
}
