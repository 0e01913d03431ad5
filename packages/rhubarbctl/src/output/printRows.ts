/** Prints rows to standard output, as JSON if `output` is `json` and as a table otherwise. */
import formatTable from './formatTable.js';

export default function printRows(
  rows: readonly Readonly<Record<string, unknown>>[],
  output: string,
): void {
  process.stdout.write(
    output === 'json' ? `${JSON.stringify(rows, null, 2)}\n` : formatTable(rows),
  );
}
