/** `GET /v1/versions`: lists which version of the fleet document is in force on each entry VM. */
import { ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import OperatorHandler from './OperatorHandler.js';

export default class VersionsHandler extends OperatorHandler {
  protected override async answer(): Promise<Result<unknown, Failure>> {
    const { directory, currentFleet } = this.context;
    const own = { nodeId: directory.own.nodeId, version: currentFleet.version, ageMs: 0 };
    return ok({ nodes: [own, ...directory.listConfigurationVersions()] });
  }
}
