/**
 * `PUT /v1/fleet`: puts a new fleet document into force, or with `dryRun` only returns what would change.
 * A document that is based on an older version is refused, with its differences from the latest version.
 */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import { z } from 'zod';
import parseFleetDocument from '@rhubarbcroft/protocol/fleet/parseFleetDocument';
import type FleetDocument from '@rhubarbcroft/protocol/fleet/FleetDocument';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type HttpExchange from '../callers/HttpExchange.js';
import OperatorHandler from './OperatorHandler.js';
import findDifferences from './findDifferences.js';
import readJsonBody from './readJsonBody.js';

const bodySchema = z.strictObject({
  basedOn: z.int().min(0),
  dryRun: z.boolean().default(false),
  document: z.unknown(),
});

const MAX_SHOWN_DIFFERENCES = 20;

export default class FleetWriteHandler extends OperatorHandler {
  protected override async answer(
    { body: incoming }: HttpExchange,
    operator: string,
  ): Promise<Result<unknown, Failure>> {
    const body = await readJsonBody(incoming, bodySchema);
    if (body.isErr) {
      return err(body.error);
    }
    const document = parseFleetDocument(body.value.document);
    if (document.isErr) {
      return err(document.error);
    }
    const { basedOn, dryRun } = body.value;
    const latest = await this.#readLatest();
    if (latest.isErr) {
      return err(latest.error);
    }
    const differences = findDifferences(latest.value.document, document.value);
    if (latest.value.version !== basedOn) {
      return err(FleetWriteHandler.#createStaleFailure(basedOn, latest.value.version, differences));
    }
    if (dryRun) {
      return ok({ version: basedOn, accepted: false, differences });
    }
    return this.#commit(basedOn, document.value, operator, differences);
  }

  async #commit(
    basedOn: number,
    document: FleetDocument,
    operator: string,
    differences: readonly string[],
  ): Promise<Result<unknown, Failure>> {
    const { repository, currentFleet, log } = this.context;
    const committed = await repository.commit({ basedOn, document, author: operator });
    if (committed.isErr) {
      return err(committed.error);
    }
    currentFleet.applyIfNewer(committed.value);
    log.info(
      { version: committed.value.version, operator, differences },
      'fleet document of an operator committed to the platform',
    );
    return ok({ version: committed.value.version, accepted: true, differences });
  }

  /** Reads the latest version from the platform, which may be newer than the one in force on this node. */
  async #readLatest(): Promise<
    Result<{ readonly version: number; readonly document: FleetDocument }, Failure>
  > {
    const { repository, currentFleet } = this.context;
    const version = await repository.readVersion();
    if (version.isErr) {
      return err(version.error);
    }
    if (version.value === 0) {
      return parseFleetDocument({}).map((document) => ({ version: 0, document }));
    }
    if (currentFleet.current?.version === version.value) {
      return ok(currentFleet.current);
    }
    return repository.readFleet(version.value);
  }

  static #createStaleFailure(
    basedOn: number,
    latest: number,
    differences: readonly string[],
  ): Failure {
    const shown = differences.slice(0, MAX_SHOWN_DIFFERENCES).join('; ');
    const detail = `based on version ${basedOn}, but the current version is ${latest}; applied to it, the change would be: ${shown}`;
    return createFailure('CONFIGURATION_STALE', detail);
  }
}
