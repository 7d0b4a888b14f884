import { readFileSync } from 'node:fs';

/** The fields of a log line by their keys. */
export type LogLine = Readonly<Record<string, string>>;

const PAIR = /([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/** Parses a line of key=value pairs. Text before the first pair is ignored. */
export function parseLine(text: string): LogLine {
  const pairs = [...text.matchAll(PAIR)].map(([, key = '', value = '']) => {
    const unquoted = value.startsWith('"') ? value.slice(1, -1).replaceAll('\\"', '"') : value;
    return [key, unquoted] as const;
  });
  return Object.fromEntries(pairs);
}

/** Compares two log lines by time, for use with `sort`. */
export function compareByTime(left: LogLine, right: LogLine): number {
  return (left['time'] ?? '').localeCompare(right['time'] ?? '');
}

/** Reads the lines that contain an event from log files, in the order of the files. */
export function readLogs(files: readonly string[]): readonly LogLine[] {
  return files.flatMap((file) =>
    readFileSync(file, 'utf8')
      .split('\n')
      .filter((text) => text.includes('event='))
      .map(parseLine),
  );
}
