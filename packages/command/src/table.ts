/**
 * Formats tables as plain text.
 */

const COLUMN_GAP = 2;

/**
 * Aligns rows in columns. A row with a single cell is printed as is and does not affect column widths.
 *
 * @param rows - the rows
 * @returns the table, one line per row
 * @example
 * ```ts
 * table.render([['NAME', 'VERSION'], ['wa-perth', '17']]);
 * ```
 */
export function render(rows: readonly (readonly string[])[]): string {
  const widths: number[] = [];
  for (const row of rows.filter((candidate) => candidate.length > 1)) {
    for (const [column, cell] of row.entries()) {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    }
  }
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd((widths[column] ?? 0) + COLUMN_GAP))
        .join('')
        .trimEnd(),
    )
    .join('\n');
}
