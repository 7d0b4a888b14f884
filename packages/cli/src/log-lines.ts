import { readFileSync } from 'node:fs';

/** One log line, by its keys. */
export type LogLine = Readonly<Record<string, string>>;

const PAIR = /([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/** Reads a line of key=value pairs; whatever stands before the first pair is passed over. */
export function parseLine(text: string): LogLine {
  const pairs = [...text.matchAll(PAIR)].map(([, key = '', value = '']) => {
    const unquoted = value.startsWith('"') ? value.slice(1, -1).replaceAll('\\"', '"') : value;
    return [key, unquoted] as const;
  });
  return Object.fromEntries(pairs);
}

/** Order of two lines by the time at which they were written. */
export function compareByTime(left: LogLine, right: LogLine): number {
  return (left['time'] ?? '').localeCompare(right['time'] ?? '');
}

/** All lines of log files, in the order of the files. */
export function readLogs(files: readonly string[]): readonly LogLine[] {
  return files.flatMap((file) =>
    readFileSync(file, 'utf8')
      .split('\n')
      .filter((text) => text.includes('event='))
      .map(parseLine),
  );
}
