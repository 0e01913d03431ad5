/**
 * A conditional multi-row write: all of it takes effect, or none.
 *
 * `expectedVersion` 0 means that the row must be absent. A write with the value `null` deletes the
 * row. The first write is the witness: its row tells after a lost answer whether this write won.
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
