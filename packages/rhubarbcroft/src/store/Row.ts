/** A row of the table service. `version` grows with each write of the row; `writeId` names that write. */
interface Row {
  readonly table: string;
  readonly key: string;
  readonly version: number;
  readonly writeId: string;
  readonly value: unknown;
}

export default Row;
