import { Command, Option } from 'clipanion';
import { byTime, readLogs } from './log-lines.js';
import type { LogLine } from './log-lines.js';

const HEAD_KEYS = new Set(['time', 'level', 'event', 'host', 'request']);

function story({ time = '', host = '', event = '', ...rest }: LogLine): string {
  const details = Object.entries(rest)
    .filter(([key]) => !HEAD_KEYS.has(key))
    .map(([key, value]) => `${key}=${value}`);
  return `${time}  ${host}  ${event}  ${details.join(' ')}`;
}

/** Of the state of a host, the last line of each counts. */
const STATE_EVENTS: ReadonlySet<string> = new Set([
  'configuration_in_force',
  'dependency_lost',
  'dependency_regained',
  'started',
]);
/** What servers said of themselves, the last line of each server counts. */
const WORD_EVENTS: ReadonlySet<string> = new Set([
  'server_leaving',
  'server_rests',
  'server_limit',
]);

function milliseconds(line: LogLine): number {
  return Date.parse(line['time'] ?? '');
}

/** Whether what `line` tells held still as `later` was written; a rest is over after its time, a limit when it is told. */
function holdsAt(line: LogLine, later: LogLine): boolean {
  if (line['event'] === 'server_limit') return line['change'] !== 'over';
  if (line['event'] !== 'server_rests') return true;
  return milliseconds(line) + Number(line['for_ms']) >= milliseconds(later);
}

/** What the hosts of a request had in force, or had been told by servers, as `first` was written. */
function backgroundOf(lines: readonly LogLine[], first: LogLine, hosts: ReadonlySet<unknown>) {
  const before = lines
    .filter((line) => hosts.has(line['host']) && byTime(line, first) <= 0)
    .filter(({ event = '' }) => STATE_EVENTS.has(event) || WORD_EVENTS.has(event))
    .sort(byTime);
  const latest = new Map(
    before.map((line) => {
      const { host = '', event = '' } = line;
      return [`${host} ${event} ${WORD_EVENTS.has(event) ? (line['server'] ?? '') : ''}`, line];
    }),
  );
  return [...latest.values()].filter((line) => holdsAt(line, first));
}

/**
 * What logs say of one request, oldest first: its own lines, and what its hosts had in force, lost last or had
 * been told by servers before them.
 */
export function storyOf(lines: readonly LogLine[], request: string): readonly string[] {
  const own = lines.filter((line) => line['request'] === request).sort(byTime);
  const first = own[0];
  if (!first) return [];
  const hosts = new Set(own.map((line) => line['host']));
  return [...backgroundOf(lines, first, hosts), ...own].sort(byTime).map(story);
}

/** `poppypond why`: tells the story of one request from the hosts' logs. */
export class WhyCommand extends Command {
  static override paths = [['why']];
  static override usage = Command.Usage({
    description: 'Tell what the logs of the hosts say of one request.',
    examples: [['One request over two hosts', 'poppypond why 9c41d07b --logs a.log --logs b.log']],
  });

  readonly request = Option.String();
  readonly logs = Option.Array('--logs', {
    required: true,
    description: 'a log file; may be repeated',
  });

  override execute(): Promise<number> {
    const told = storyOf(readLogs(this.logs), this.request);
    if (told.length === 0) {
      this.context.stdout.write(`no line of request ${this.request}\n`);
      return Promise.resolve(1);
    }
    this.context.stdout.write(`${told.join('\n')}\n`);
    return Promise.resolve(0);
  }
}
