/**
 * A row of the table service. Each write increments `version` and sets `writeId` to the id of its
 * transaction.
 */
interface Row {
  readonly table: string;
  readonly key: string;
  readonly version: number;
  readonly writeId: string;
  readonly value: unknown;
}

export default Row;
