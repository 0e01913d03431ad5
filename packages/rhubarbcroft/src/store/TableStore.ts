/**
 * The platform's transactional table service.
 *
 * `commitOnce` fails with `PLATFORM_ANSWER_LOST` whenever the write may have taken effect. `commit`
 * settles that doubt: it sends the same transaction again, which cannot take effect twice because its
 * conditions are on the rows it writes, and on a conflict reads the witness row for its own write id.
 */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type CommitOutcome from './CommitOutcome.js';
import type Row from './Row.js';
import type Transaction from './Transaction.js';

const COMMIT_ATTEMPTS = 3;

abstract class TableStore {
  abstract read(table: string, key: string): Promise<Result<Row | undefined, Failure>>;

  abstract scan(table: string, prefix: string): Promise<Result<readonly Row[], Failure>>;

  protected abstract commitOnce(transaction: Transaction): Promise<Result<CommitOutcome, Failure>>;

  async commit(transaction: Transaction): Promise<Result<CommitOutcome, Failure>> {
    let lost: Failure | undefined;
    for (let attempt = 0; attempt < COMMIT_ATTEMPTS; attempt += 1) {
      const result = await this.commitOnce(transaction);
      if (result.isOk) {
        const doubtful = lost !== undefined && !result.value.committed;
        return doubtful ? this.#readWitness(transaction, result.value) : result;
      }
      if (result.error.code !== 'PLATFORM_ANSWER_LOST') {
        return lost === undefined ? result : err(lost);
      }
      lost = result.error;
    }
    return err(lost as Failure);
  }

  async #readWitness(
    transaction: Transaction,
    conflict: CommitOutcome,
  ): Promise<Result<CommitOutcome, Failure>> {
    const [witness] = transaction.writes;
    const row = await this.read(witness.table, witness.key);
    if (row.isErr) {
      return err({ ...row.error, code: 'PLATFORM_ANSWER_LOST' });
    }
    return ok(row.value?.writeId === transaction.writeId ? { committed: true } : conflict);
  }
}

export default TableStore;
