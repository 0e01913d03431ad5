/** `GET /v1/state`: returns the state dump of this process, which contains no secrets and no request content. */
import { ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import OperatorHandler from './OperatorHandler.js';

export default class StateHandler extends OperatorHandler {
  protected override async answer(): Promise<Result<unknown, Failure>> {
    return ok(this.context.dumpState());
  }
}
