import { mkdirSync, writeFileSync } from 'node:fs';

/**
 * Returns the median, or the lower of the two middle values if the count is even; NaN if there are
 * no values.
 */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? Number.NaN;
}

/** Prints a line of a report to the standard output. */
export function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Writes a file, and creates its folder if there is none. */
export function writeReport(path: string, text: string): void {
  mkdirSync(path.split('/').slice(0, -1).join('/') || '.', { recursive: true });
  writeFileSync(path, text);
}

/** Formats rows as a Markdown table. */
export function markdownTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const formatRow = (cells: readonly string[]) => `| ${cells.join(' | ')} |`;
  return [formatRow(header), formatRow(header.map(() => '---')), ...rows.map(formatRow)].join('\n');
}
