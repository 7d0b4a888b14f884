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
    expect(stop.accepts('any', Number.POSITIVE_INFINITY)).toBe(true);
    expect(stop.mayStart('any', Number.POSITIVE_INFINITY)).toBe(true);
  });

  it('accepts at any time what ends by its deadline', async () => {
    const { clock, stop } = beginStop(LONG_MS);
    expect(stop.accepts('usual', 2000)).toBe(true);
    await clock.advance(GRACE_MS - 2000);
    expect(stop.accepts('usual', 2000)).toBe(true);
    await clock.advance(1);
    expect(stop.accepts('usual', 2000)).toBe(false);
  });

  it('accepts what is expected to end only while the load balancer may send it', async () => {
    const { clock, stop } = beginStop(4000);
    expect(stop.accepts('usual', LONG_MS)).toBe(true);
    expect(stop.accepts('unknown', LONG_MS)).toBe(false);
    await clock.advance(NEW_CONNECTIONS_MS);
    expect(stop.accepts('usual', LONG_MS)).toBe(true);
    await clock.advance(1);
    expect(stop.accepts('usual', LONG_MS)).toBe(false);
  });

  it('starts what has waited as long as it is expected to end', async () => {
    const { clock, stop } = beginStop(4000);
    await clock.advance(GRACE_MS - 4000);
    expect(stop.mayStart('usual', LONG_MS)).toBe(true);
    await clock.advance(500);
    expect(stop.mayStart('usual', LONG_MS)).toBe(false);
  });
});

describe('RequestDurations', () => {
  it('expects the duration that one in twenty of the recent requests exceeds', () => {
    const durations = new RequestDurations();
    expect(durations.expectedMs('a')).toBeUndefined();
    durations.record('a', 7);
    expect(durations.expectedMs('a')).toBe(7);
    for (let index = 0; index < 100; index += 1) durations.record('a', index);
    expect(durations.expectedMs('a')).toBeGreaterThanOrEqual(94);
    expect(durations.expectedMs('a')).toBeLessThan(99);
    expect(durations.expectedMs('b')).toBeUndefined();
  });
});
