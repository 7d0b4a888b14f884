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

/**
 * What logs say of one request, oldest first: its own lines, and what its hosts had in force or
 * lost last before them.
 */
export function storyOf(lines: readonly LogLine[], request: string): readonly string[] {
  const own = lines.filter((line) => line['request'] === request).sort(byTime);
  const first = own[0];
  if (!first) return [];
  const hosts = new Set(own.map((line) => line['host']));
  const background = [
    'configuration_in_force',
    'dependency_lost',
    'dependency_regained',
    'started',
  ];
  const before = lines
    .filter((line) => hosts.has(line['host']) && background.includes(line['event'] ?? ''))
    .filter((line) => byTime(line, first) <= 0)
    .sort(byTime);
  const latest = new Map(
    before.map((line) => [`${line['host'] ?? ''} ${line['event'] ?? ''}`, line]),
  );
  return [...latest.values(), ...own].sort(byTime).map(story);
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
