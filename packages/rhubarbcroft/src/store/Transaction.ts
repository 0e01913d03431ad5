/**
 * A conditional write of several rows that takes effect as a whole or not at all.
 *
 * `expectedVersion` 0 requires the row to be absent. Writing the value `null` deletes the row. The row of the
 * first write is the witness row: after a lost answer, its `writeId` shows whether this transaction took
 * effect. `checks` are conditions on rows that the transaction does not write.
 */
interface Transaction {
  readonly writeId: string;
  readonly writes: readonly {
    readonly table: string;
    readonly key: string;
    readonly expectedVersion: number;
    readonly value: unknown;
  }[];
  readonly checks?: readonly {
    readonly table: string;
    readonly key: string;
    readonly expectedVersion: number;
  }[];
}

export default Transaction;
