/** Formats rows as a table with aligned columns, or as the line `(none)` if there are no rows. */
type TableRow = Readonly<Record<string, unknown>>;

function formatCell(value: unknown): string {
  if (value === undefined || value === null) {
    return '-';
  }
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

export default function formatTable(rows: readonly TableRow[]): string {
  if (rows.length === 0) {
    return '(none)\n';
  }
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const lines = [
    columns.map((column) => column.toUpperCase()),
    ...rows.map((row) => columns.map((column) => formatCell(row[column]))),
  ];
  const widths = columns.map((_column, index) =>
    Math.max(...lines.map((line) => line[index].length)),
  );
  return lines
    .map(
      (line) =>
        `${line
          .map((cell, index) => cell.padEnd(widths[index]))
          .join('  ')
          .trimEnd()}\n`,
    )
    .join('');
}
