import { mkdirSync, writeFileSync } from 'node:fs';

/** Middle value; the lower of the two middle ones where the count is even. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? Number.NaN;
}

/** Prints a line of a report. */
export function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Writes a file under `out/`, or at the given path. */
export function writeReport(path: string, text: string): void {
  mkdirSync(path.split('/').slice(0, -1).join('/') || '.', { recursive: true });
  writeFileSync(path, text);
}

/** Rows as a table in Markdown. */
export function markdownTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const formatRow = (cells: readonly string[]) => `| ${cells.join(' | ')} |`;
  return [formatRow(header), formatRow(header.map(() => '---')), ...rows.map(formatRow)].join('\n');
}
