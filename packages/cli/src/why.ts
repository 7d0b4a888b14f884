import { Command, Option } from 'clipanion';
import { compareByTime, readLogs } from './log-lines.js';
import type { LogLine } from './log-lines.js';

const COLUMN_KEYS = new Set(['time', 'level', 'event', 'host', 'request']);

function formatLine({ time = '', host = '', event = '', ...rest }: LogLine): string {
  const details = Object.entries(rest)
    .filter(([key]) => !COLUMN_KEYS.has(key))
    .map(([key, value]) => `${key}=${value}`);
  return `${time}  ${host}  ${event}  ${details.join(' ')}`;
}

/** Events that change the state of a host. The last line of each event on a host is in effect. */
const HOST_STATE_EVENTS: ReadonlySet<string> = new Set([
  'configuration_in_force',
  'dependency_lost',
  'dependency_regained',
  'started',
]);
/**
 * Notices that servers report about themselves. The last line of each event and server on a host is
 * in effect.
 */
const NOTICE_EVENTS: ReadonlySet<string> = new Set([
  'server_leaving',
  'server_rests',
  'server_limit',
]);

function timestampMs(line: LogLine): number {
  return Date.parse(line['time'] ?? '');
}

/**
 * Whether the state in `line` is still in effect at the time of `later`. A backoff ends after its
 * `for_ms`; a rate limit ends with a line that reports its end.
 */
function isInEffectAt(line: LogLine, later: LogLine): boolean {
  if (line['event'] === 'server_limit') return line['change'] !== 'over';
  if (line['event'] !== 'server_rests') return true;
  return timestampMs(line) + Number(line['for_ms']) >= timestampMs(later);
}

/**
 * Returns the host states and server notices that are in effect on the hosts of a request at the
 * time of `first`.
 */
function findContextLines(lines: readonly LogLine[], first: LogLine, hosts: ReadonlySet<unknown>) {
  const before = lines
    .filter((line) => hosts.has(line['host']) && compareByTime(line, first) <= 0)
    .filter(({ event = '' }) => HOST_STATE_EVENTS.has(event) || NOTICE_EVENTS.has(event))
    .sort(compareByTime);
  const latest = new Map(
    before.map((line) => {
      const { host = '', event = '' } = line;
      return [`${host} ${event} ${NOTICE_EVENTS.has(event) ? (line['server'] ?? '') : ''}`, line];
    }),
  );
  return [...latest.values()].filter((line) => isInEffectAt(line, first));
}

/**
 * Returns the formatted log lines of one request, oldest first. They include the last configuration
 * change, start, lost and regained dependency of its hosts before its first line, and the server
 * notices in effect then. Returns no lines for an unknown request.
 */
export function buildTimeline(lines: readonly LogLine[], request: string): readonly string[] {
  const requestLines = lines.filter((line) => line['request'] === request).sort(compareByTime);
  const first = requestLines[0];
  if (!first) return [];
  const hosts = new Set(requestLines.map((line) => line['host']));
  return [...findContextLines(lines, first, hosts), ...requestLines]
    .sort(compareByTime)
    .map(formatLine);
}

/** `poppypond why`: prints the timeline of one request from the hosts' logs. */
export class WhyCommand extends Command {
  static override paths = [['why']];
  static override usage = Command.Usage({
    description: 'Print what the logs of the hosts report about one request.',
    examples: [
      ['One request that two hosts handled', 'poppypond why 9c41d07b --logs a.log --logs b.log'],
    ],
  });

  readonly request = Option.String();
  readonly logs = Option.Array('--logs', {
    required: true,
    description: 'a log file; may be repeated',
  });

  override execute(): Promise<number> {
    const told = buildTimeline(readLogs(this.logs), this.request);
    if (told.length === 0) {
      this.context.stdout.write(`the logs hold no line of request ${this.request}\n`);
      return Promise.resolve(1);
    }
    this.context.stdout.write(`${told.join('\n')}\n`);
    return Promise.resolve(0);
  }
}
