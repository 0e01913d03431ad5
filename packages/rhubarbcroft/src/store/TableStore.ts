/**
 * The platform's transactional table service.
 *
 * `commitOnce` fails with `PLATFORM_ANSWER_LOST` whenever the transaction may have taken effect. `commit`
 * then sends the same transaction again, which cannot take effect twice because its conditions are on the
 * rows that it writes. On a conflict it reads the witness row, the first row of the transaction: if that
 * holds the transaction's write id, the earlier send took effect.
 */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type CommitOutcome from './CommitOutcome.js';
import type Row from './Row.js';
import type Transaction from './Transaction.js';

const COMMIT_ATTEMPTS = 3;

abstract class TableStore {
  /** Returns undefined when the row is absent. */
  abstract read(table: string, key: string): Promise<Result<Row | undefined, Failure>>;

  /** Returns the rows of a table whose keys start with `prefix`. */
  abstract scan(table: string, prefix: string): Promise<Result<readonly Row[], Failure>>;

  protected abstract commitOnce(transaction: Transaction): Promise<Result<CommitOutcome, Failure>>;

  /** Fails with `PLATFORM_ANSWER_LOST` when it remains unknown whether the transaction took effect. */
  async commit(transaction: Transaction): Promise<Result<CommitOutcome, Failure>> {
    let lostAnswer: Failure | undefined;
    for (let attempt = 0; attempt < COMMIT_ATTEMPTS; attempt += 1) {
      const result = await this.commitOnce(transaction);
      if (result.isOk) {
        const mayBeOwnWrite = lostAnswer !== undefined && !result.value.committed;
        return mayBeOwnWrite ? this.#checkWitness(transaction, result.value) : result;
      }
      if (result.error.code !== 'PLATFORM_ANSWER_LOST') {
        return lostAnswer === undefined ? result : err(lostAnswer);
      }
      lostAnswer = result.error;
    }
    return err(lostAnswer as Failure);
  }

  async #checkWitness(
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
