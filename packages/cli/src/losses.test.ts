import { describe, expect, it } from 'vitest';
import { lossCause } from './loss-cause.js';
import { parseLine } from './log-lines.js';
import { countLosses } from './losses.js';

const PLACED = parseLine('event=placed request=r tokens=5000 waited_ms=10 expected_ms=100');

function answered(more: string) {
  return parseLine(
    `event=answered request=r code=ok aim_ms=300 pause_aim_ms=200 tokens=5000 attempts=1 ${more}`,
  );
}

describe('lossCause', () => {
  it.each([
    ['first_event_ms=120 longest_pause_ms=90', 'in_time'],
    ['first_event_ms=120 longest_pause_ms=700', 'late_by_a_pause'],
    ['first_event_ms=900 longest_pause_ms=90', 'late_behind_other_reads'],
    ['first_event_ms=305 longest_pause_ms=90', 'late_in_the_queue'],
  ])('classifies a response with %s as %s', (more, cause) => {
    expect(lossCause({ placed: PLACED, end: answered(more) })).toBe(cause);
  });

  it('classifies late, retried, refused, cancelled and lost requests', () => {
    const late = answered('first_event_ms=900 longest_pause_ms=0');
    const slow = { ...PLACED, expected_ms: '800' };
    expect(lossCause({ placed: slow, end: late })).toBe('late_as_foreseen');
    expect(lossCause({ placed: PLACED, end: { ...late, attempts: '2' } })).toBe(
      'late_after_a_failed_attempt',
    );
    const unproved = 'event=refused code=not_ready why="the configuration may be out of date"';
    expect(lossCause({ placed: undefined, end: parseLine(unproved) })).toBe(
      'refused_for_an_unproved_configuration',
    );
    const unreadable = parseLine('event=refused code=configuration_unreadable why="anything"');
    expect(lossCause({ placed: undefined, end: unreadable })).toBe(
      'refused_for_an_unproved_configuration',
    );
    expect(lossCause({ placed: PLACED, end: { ...late, code: 'cancelled_running' } })).toBe(
      'left_by_its_caller',
    );
    expect(lossCause({ placed: PLACED, end: undefined })).toBe('lost_with_its_host');
    expect(lossCause({ placed: undefined, end: { event: 'answered', code: 'quarantined' } })).toBe(
      'held_back_as_servers_ended',
    );
    const resting = 'event=answered code=no_backend why="all servers of the service want rest"';
    expect(lossCause({ placed: undefined, end: parseLine(resting) })).toBe(
      'refused_as_servers_rest',
    );
    const limited =
      'event=answered code=no_backend why="all servers of the service name limits: 2 servers take 4.0 a second"';
    expect(lossCause({ placed: undefined, end: parseLine(limited) })).toBe(
      'refused_as_servers_limited',
    );
    const evacuated =
      'event=answered code=no_backend why="all servers of the service are in evacuated availability zones"';
    expect(lossCause({ placed: undefined, end: parseLine(evacuated) })).toBe(
      'refused_as_zones_evacuated',
    );
    const overloaded =
      'event=answered code=no_backend why="the engines are overloaded: priority 2 asks for 40.0 engines"';
    expect(lossCause({ placed: undefined, end: parseLine(overloaded) })).toBe(
      'refused_as_engines_overloaded',
    );
    const cold = limited.replace('name limits', 'are cold or name limits');
    const bounded = limited.replace('name limits', 'may turn cold or name limits');
    for (const end of [cold, bounded].map(parseLine))
      expect(lossCause({ placed: undefined, end })).toBe('refused_as_servers_limited');
  });
});

describe('countLosses', () => {
  it('counts by time interval, size and cause, and skips invalid requests', () => {
    const lines = [
      'time=2026-01-01T00:00:01.000Z event=placed request=a tokens=200000',
      'time=2026-01-01T00:00:02.000Z event=placed request=b tokens=5000',
      'time=2026-01-01T00:00:12.000Z event=placed request=c tokens=0',
      'time=2026-01-01T00:00:12.000Z event=answered request=c code=ok took_ms=20 aim_ms=100',
      'time=2026-01-01T00:00:13.000Z event=refused request=d code=unauthenticated',
    ].map(parseLine);
    expect(countLosses(lines, 10)).toEqual([
      { from: '2026-01-01T00:00:00.000Z', size: 'long', cause: 'lost_with_its_host', requests: 1 },
      { from: '2026-01-01T00:00:00.000Z', size: 'short', cause: 'lost_with_its_host', requests: 1 },
      { from: '2026-01-01T00:00:10.000Z', size: 'call', cause: 'in_time', requests: 1 },
    ]);
  });
});
