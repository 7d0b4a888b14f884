import type { LogLine } from './log-lines.js';

/** Why a request was not served in time; `in_time` if it was. */
export type LossCause =
  | 'in_time'
  | 'refused_for_an_unproved_configuration'
  | 'refused'
  | 'held_back_as_servers_ended'
  | 'refused_as_servers_rest'
  | 'refused_as_servers_limited'
  | 'refused_as_zones_evacuated'
  | 'refused_as_engines_overloaded'
  | 'lost_with_its_host'
  | 'left_by_its_caller'
  | 'failed'
  | 'late_after_a_failed_attempt'
  | 'late_in_the_queue'
  | 'late_as_foreseen'
  | 'late_behind_other_reads'
  | 'late_by_a_pause'
  | 'late_call';

/** The log lines of one request from which its cause is determined. */
export interface RequestLines {
  readonly placed: LogLine | undefined;
  /** The line `answered` or `refused`; undefined if the logs end before it or the host was lost. */
  readonly end: LogLine | undefined;
}

const CANCELLED_CODES: ReadonlySet<string> = new Set(['cancelled_running', 'cancelled_waiting']);
const UNCONFIRMED_CONFIGURATION = 'the configuration may be out of date';
/** Beginnings of the reasons for which no server was chosen. */
const REFUSAL_CAUSES: readonly (readonly [string, LossCause])[] = [
  ['all servers of the service want rest', 'refused_as_servers_rest'],
  ['all servers of the service name limits', 'refused_as_servers_limited'],
  ['all servers of the service are cold or name limits', 'refused_as_servers_limited'],
  ['all servers of the service may turn cold or name limits', 'refused_as_servers_limited'],
  ['all servers of the service are in evacuated availability zones', 'refused_as_zones_evacuated'],
  ['the engines are overloaded', 'refused_as_engines_overloaded'],
];

function numberOf(line: LogLine | undefined, key: string): number | undefined {
  const text = line?.[key];
  return text === undefined ? undefined : Number(text);
}

function causeOfLateStart(
  placed: LogLine | undefined,
  firstEventMs: number,
  aimMs: number,
): LossCause {
  const waitedMs = numberOf(placed, 'waited_ms') ?? 0;
  const expectedMs = numberOf(placed, 'expected_ms') ?? 0;
  if (firstEventMs - waitedMs <= aimMs) return 'late_in_the_queue';
  return waitedMs + expectedMs > aimMs ? 'late_as_foreseen' : 'late_behind_other_reads';
}

function causeOfStream(placed: LogLine | undefined, end: LogLine, aimMs: number): LossCause {
  const firstEventMs = numberOf(end, 'first_event_ms') ?? 0;
  const isRetried = (numberOf(end, 'attempts') ?? 1) > 1;
  const pauseMs = numberOf(end, 'longest_pause_ms') ?? 0;
  const gapAimMs = numberOf(end, 'pause_aim_ms') ?? Number.POSITIVE_INFINITY;
  const isLate = firstEventMs > aimMs;
  if (!isLate && pauseMs <= gapAimMs) return 'in_time';
  if (isRetried) return 'late_after_a_failed_attempt';
  return isLate ? causeOfLateStart(placed, firstEventMs, aimMs) : 'late_by_a_pause';
}

/** Returns why a request was not served in time, or `in_time`. */
export function lossCause({ placed, end }: RequestLines): LossCause {
  if (!end) return 'lost_with_its_host';
  if (end['event'] === 'refused') {
    const isUnreadable = end['code'] === 'configuration_unreadable';
    return isUnreadable || end['why'] === UNCONFIRMED_CONFIGURATION
      ? 'refused_for_an_unproved_configuration'
      : 'refused';
  }
  const code = end['code'] ?? '';
  if (code === 'quarantined') return 'held_back_as_servers_ended';
  const refusal = REFUSAL_CAUSES.find(([beginning]) => end['why']?.startsWith(beginning));
  if (refusal) return refusal[1];
  if (CANCELLED_CODES.has(code)) return 'left_by_its_caller';
  if (code !== 'ok') return 'failed';
  const aimMs = numberOf(end, 'aim_ms') ?? Number.POSITIVE_INFINITY;
  if (end['tokens'] !== undefined) return causeOfStream(placed, end, aimMs);
  return (numberOf(end, 'took_ms') ?? 0) <= aimMs ? 'in_time' : 'late_call';
}
