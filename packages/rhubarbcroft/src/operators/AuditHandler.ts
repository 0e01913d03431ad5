/** `GET /v1/audit`: lists who changed the fleet document, and when. */
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import OperatorHandler from './OperatorHandler.js';

export default class AuditHandler extends OperatorHandler {
  protected override answer(): Promise<Result<unknown, Failure>> {
    return this.context.repository.readAudit();
  }
}
