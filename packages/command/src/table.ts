/**
 * Tables for people.
 */

const GAP = 2;

/**
 * Renders rows in columns; a row of one cell stands alone and widens nothing.
 *
 * @param rows - the rows
 * @returns the text
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
        .map((cell, column) => cell.padEnd((widths[column] ?? 0) + GAP))
        .join('')
        .trimEnd(),
    )
    .join('\n');
}
