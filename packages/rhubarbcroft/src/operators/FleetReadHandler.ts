/** `GET /v1/fleet`: returns the fleet document in force on this node and its version. */
import { ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import OperatorHandler from './OperatorHandler.js';

export default class FleetReadHandler extends OperatorHandler {
  protected override async answer(): Promise<Result<unknown, Failure>> {
    const fleet = this.context.currentFleet.current;
    return ok({ version: fleet?.version ?? 0, document: fleet?.document ?? {} });
  }
}
