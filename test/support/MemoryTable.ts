/** An in-memory table store for tests, with conditional transactions and responses that can be lost. */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type CommitOutcome from 'rhubarbcroft/store/CommitOutcome';
import type Row from 'rhubarbcroft/store/Row';
import TableStore from 'rhubarbcroft/store/TableStore';
import type Transaction from 'rhubarbcroft/store/Transaction';

export default class MemoryTable extends TableStore {
  readonly #rows = new Map<string, Row>();

  #answersToLose = 0;

  /** Makes the next transactions report a lost answer, although they are applied if their conditions hold. */
  loseAnswers(count: number): void {
    this.#answersToLose = count;
  }

  override async read(table: string, key: string): Promise<Result<Row | undefined, Failure>> {
    return ok(this.#rows.get(`${table}/${key}`));
  }

  override async scan(): Promise<Result<readonly Row[], Failure>> {
    return ok([...this.#rows.values()]);
  }

  protected override async commitOnce({
    writes,
    checks = [],
    writeId,
  }: Transaction): Promise<Result<CommitOutcome, Failure>> {
    const conflicts = [...writes, ...checks]
      .filter(
        ({ table, key, expectedVersion }) =>
          (this.#rows.get(`${table}/${key}`)?.version ?? 0) !== expectedVersion,
      )
      .map(({ table, key }) => `${table}/${key}`);
    if (conflicts.length === 0) {
      writes.forEach(({ table, key, expectedVersion, value }) =>
        this.#rows.set(`${table}/${key}`, {
          table,
          key,
          version: expectedVersion + 1,
          writeId,
          value,
        }),
      );
    }
    this.#answersToLose -= 1;
    if (this.#answersToLose >= 0) {
      return err(createFailure('PLATFORM_ANSWER_LOST', 'the answer is lost'));
    }
    return ok(conflicts.length === 0 ? { committed: true } : { committed: false, conflicts });
  }
}
