import { ManualClock } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import { PlannedStop } from './planned-stop.js';
import { RequestDurations } from './request-durations.js';

const NEW_CONNECTIONS_MS = 2500;
const GRACE_MS = 7400;
const LONG_MS = 10_000;

/** A stop that begins now, with one route whose requests take up to `usualMs`. */
function beginStop(usualMs: number) {
  const clock = new ManualClock();
  const durations = new RequestDurations();
  for (let index = 1; index <= 20; index += 1) durations.record('usual', (usualMs * index) / 20);
  const stop = new PlannedStop(clock, durations);
  const nowMs = clock.monotonicMs();
  stop.begin({ newConnectionsUntilMs: nowMs + NEW_CONNECTIONS_MS, endsAtMs: nowMs + GRACE_MS });
  return { clock, stop };
}

describe('PlannedStop', () => {
  it('accepts every request before the stop', () => {
    const stop = new PlannedStop(new ManualClock(), new RequestDurations());
    expect(stop.accepts('any', Number.POSITIVE_INFINITY, true)).toBe(true);
    expect(stop.mayStart('any', Number.POSITIVE_INFINITY, true)).toBe(true);
  });

  it('accepts at any time what ends by its deadline', async () => {
    const { clock, stop } = beginStop(LONG_MS);
    expect(stop.accepts('usual', 2000, true)).toBe(true);
    await clock.advance(GRACE_MS - 2000);
    expect(stop.accepts('usual', 2000, true)).toBe(true);
    await clock.advance(1);
    expect(stop.accepts('usual', 2000, true)).toBe(false);
  });

  it('accepts what is expected to end only while the load balancer may send it', async () => {
    const { clock, stop } = beginStop(4000);
    expect(stop.accepts('usual', LONG_MS, true)).toBe(true);
    expect(stop.accepts('unknown', LONG_MS, true)).toBe(false);
    await clock.advance(NEW_CONNECTIONS_MS);
    expect(stop.accepts('usual', LONG_MS, true)).toBe(true);
    await clock.advance(1);
    expect(stop.accepts('usual', LONG_MS, true)).toBe(false);
  });

  it('starts what has waited as long as it is expected to end', async () => {
    const { clock, stop } = beginStop(4000);
    await clock.advance(GRACE_MS - 4000);
    expect(stop.mayStart('usual', LONG_MS, true)).toBe(true);
    await clock.advance(500);
    expect(stop.mayStart('usual', LONG_MS, true)).toBe(false);
  });
});

describe('PlannedStop for requests that may run only once', () => {
  // Guards against a call that is slower than usual and cut at the end of the stop.
  it('starts them as long as twice the longest recent duration is left', async () => {
    const { clock, stop } = beginStop(2000);
    expect(stop.accepts('usual', LONG_MS, false)).toBe(true);
    await clock.advance(GRACE_MS - 4000);
    expect(stop.mayStart('usual', LONG_MS, false)).toBe(true);
    await clock.advance(1);
    expect(stop.mayStart('usual', LONG_MS, false)).toBe(false);
    expect(stop.mayStart('usual', LONG_MS, true)).toBe(true);
    expect(stop.mayStart('usual', 2000, false)).toBe(true);
  });
});

describe('RequestDurations', () => {
  it('returns the longest of the recent durations of a route', () => {
    const durations = new RequestDurations();
    expect(durations.longestMs('a')).toBeUndefined();
    durations.record('a', 900);
    for (let index = 0; index < 255; index += 1) durations.record('a', index);
    expect(durations.longestMs('a')).toBe(900);
    durations.record('a', 7);
    expect(durations.longestMs('a')).toBe(254);
    expect(durations.longestMs('b')).toBeUndefined();
  });
});
