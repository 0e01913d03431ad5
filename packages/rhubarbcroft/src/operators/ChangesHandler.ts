/** `GET /v1/changes`: lists the declared changes and the progress of each. */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type Fleet from '../configuration/Fleet.js';
import OperatorHandler from './OperatorHandler.js';

type Change = Fleet['document']['changes'][number];

export default class ChangesHandler extends OperatorHandler {
  protected override async answer(): Promise<Result<unknown, Failure>> {
    const fleet = this.context.currentFleet.current;
    if (fleet === undefined) {
      return err(createFailure('CONFIGURATION_ABSENT', 'no fleet document is in force'));
    }
    const changes = await Promise.all(
      fleet.document.changes.map((change) => this.#describeChange(change)),
    );
    return ok({ version: fleet.version, changes });
  }

  async #describeChange(change: Change): Promise<Readonly<Record<string, unknown>>> {
    const report = this.context.registry.get(change.endpoint)?.state.report;
    const common = { name: change.name, action: change.action, endpoint: change.endpoint };
    if (change.action === 'drain') {
      const running = report?.running ?? null;
      return { ...common, status: running === 0 ? 'done' : 'draining', running };
    }
    if (change.action === 'role') {
      const done = report?.role === change.role && !report?.changing;
      return {
        ...common,
        wanted: change.role,
        status: done ? 'done' : 'waiting',
        running: report?.running ?? null,
      };
    }
    return {
      ...common,
      wanted: `${change.model} ${change.modelVersion ?? ''}`,
      status: await this.#readOrderStatus(change),
    };
  }

  async #readOrderStatus(change: Change): Promise<string> {
    const entry = await this.context.intents.read(change.endpoint);
    const intent = entry.isOk ? entry.value.intent : undefined;
    const order = intent?.order;
    const isSameOrder =
      order?.type === 'model' &&
      order.model === change.model &&
      order.modelVersion === (change.modelVersion ?? '');
    return isSameOrder ? (intent?.outcome ?? 'ordered') : 'waiting';
  }
}
