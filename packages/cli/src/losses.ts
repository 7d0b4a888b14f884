import { promptSizeOf } from '@poppypond/core';
import type { PromptSize } from '@poppypond/core';
import { Command, Option } from 'clipanion';
import { lossCause } from './loss-cause.js';
import type { LossCause } from './loss-cause.js';
import { compareByTime, readLogs } from './log-lines.js';
import type { LogLine } from './log-lines.js';

/** Number of requests of one size and cause that began in one time interval. */
export interface LossRow {
  /** Start of the interval, as an ISO time in UTC. */
  readonly from: string;
  readonly size: 'call' | PromptSize;
  readonly cause: LossCause;
  readonly requests: number;
}

const MS_PER_SECOND = 1000;
/** Result codes of invalid requests. They are the fault of the caller and are not counted. */
const CLIENT_ERROR_CODES: ReadonlySet<string> = new Set([
  'unauthenticated',
  'unknown_route',
  'bad_field',
]);

function sizeOf(placed: LogLine | undefined, end: LogLine | undefined): LossRow['size'] {
  const tokens = Number(end?.['tokens'] ?? placed?.['tokens'] ?? 0);
  return tokens === 0 ? 'call' : promptSizeOf(tokens);
}

function intervalStart(line: LogLine, intervalSeconds: number): string {
  const intervalMs = intervalSeconds * MS_PER_SECOND;
  const startMs = Math.floor(Date.parse(line['time'] ?? '') / intervalMs) * intervalMs;
  return new Date(startMs).toISOString();
}

/**
 * Counts the requests in the logs by time interval, size and cause. Rows are sorted in that order.
 */
export function countLosses(
  lines: readonly LogLine[],
  intervalSeconds: number,
): readonly LossRow[] {
  const byRequest = new Map<string, { placed?: LogLine; end?: LogLine; first: LogLine }>();
  for (const line of [...lines].sort(compareByTime)) {
    const { request, event } = line;
    if (request === undefined) continue;
    const known = byRequest.get(request) ?? { first: line };
    if (event === 'placed') known.placed = line;
    if (event === 'answered' || event === 'refused') known.end = line;
    byRequest.set(request, known);
  }
  const counts = new Map<string, LossRow>();
  for (const { placed, end, first } of byRequest.values()) {
    if (CLIENT_ERROR_CODES.has(end?.['code'] ?? '')) continue;
    const from = intervalStart(first, intervalSeconds);
    const size = sizeOf(placed, end);
    const cause = lossCause({ placed, end });
    const key = `${from} ${size} ${cause}`;
    const requests = (counts.get(key)?.requests ?? 0) + 1;
    counts.set(key, { from, size, cause, requests });
  }
  return [...counts].sort(([left], [right]) => (left < right ? -1 : 1)).map(([, row]) => row);
}

/**
 * `poppypond losses`: counts the requests of a cluster by time, prompt size and why they were not
 * served in time.
 */
export class LossesCommand extends Command {
  static override paths = [['losses']];
  static override usage = Command.Usage({
    description: "Count the requests in the hosts' logs by time, size and why they were late.",
    examples: [['Count by minute', 'poppypond losses --every 60 --logs a.log --logs b.log']],
  });

  readonly logs = Option.Array('--logs', {
    required: true,
    description: 'a log file; may be repeated',
  });
  readonly every = Option.String('--every', '10', {
    description: 'length of a time interval in seconds',
  });

  override execute(): Promise<number> {
    const intervalSeconds = Number(this.every);
    if (!(intervalSeconds > 0)) {
      this.context.stderr.write('--every: must be a number of seconds above 0\n');
      return Promise.resolve(1);
    }
    for (const row of countLosses(readLogs(this.logs), intervalSeconds)) {
      const { from, size, cause, requests } = row;
      this.context.stdout.write(
        `${from}  ${size.padEnd(6)}  ${String(requests).padStart(6)}  ${cause}\n`,
      );
    }
    return Promise.resolve(0);
  }
}
