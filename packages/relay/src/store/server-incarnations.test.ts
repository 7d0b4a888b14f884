import type { BackendServer } from '@poppypond/fleet';
import { ManualClock } from '@poppypond/mocks';
import { silentLog } from '@poppypond/telemetry';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ServerList } from './server-list.js';

const FIRST_STARTED_AT_MS = 1_783_190_637_086;
/** Longer than the time after which an earlier start time is accepted. */
const LONG_MS = 4000;

function born(startedAtMs: number, port = 1): BackendServer {
  const place = { id: 'a', service: 's', address: '10.0.0.1', port, availabilityZone: 'z' };
  return { ...place, slots: 1, isDraining: false, startedAtMs };
}

/**
 * A list that has read the incarnation started at `FIRST_STARTED_AT_MS`, and the restarts that it
 * has reported since.
 */
function listOfOne() {
  const clock = new ManualClock();
  const list = new ServerList(clock, silentLog);
  const restarts: (number | undefined)[] = [];
  list.onNewIncarnation(({ startedAtMs }) => restarts.push(startedAtMs));
  let version = 0;
  const read = (server: BackendServer) => {
    version += 1;
    list.replace([server], clock.monotonicMs(), version);
  };
  read(born(FIRST_STARTED_AT_MS));
  return { clock, list, restarts, read, current: () => list.available('s')[0]?.startedAtMs };
}

describe('ServerList, with a server that restarts under its id', () => {
  it('notifies watchers that the previous incarnation has ended, and lists the server again', () => {
    const { list, restarts, read, current } = listOfOne();
    const over: string[] = [];
    list.watchIncarnation(born(FIRST_STARTED_AT_MS), () => over.push('first'));
    list.onGone(born(FIRST_STARTED_AT_MS), 'h');
    expect(current()).toBeUndefined();
    read(born(FIRST_STARTED_AT_MS + 50));
    expect(current()).toBe(FIRST_STARTED_AT_MS + 50);
    expect(over).toEqual(['first']);
    expect(restarts).toEqual([FIRST_STARTED_AT_MS + 50]);
    list.onGone(born(FIRST_STARTED_AT_MS), 'h');
    expect(current()).toBe(FIRST_STARTED_AT_MS + 50);
  });

  it('notifies nobody if only the state has changed, or nothing', () => {
    const { list, restarts, read } = listOfOne();
    list.watchIncarnation(born(FIRST_STARTED_AT_MS), () => restarts.push(0));
    read(born(FIRST_STARTED_AT_MS));
    read({ ...born(FIRST_STARTED_AT_MS), isDraining: true });
    expect(restarts).toEqual([]);
  });

  it('notifies watchers of an incarnation whose entry had expired', () => {
    const { clock, list, restarts } = listOfOne();
    list.watchIncarnation(born(FIRST_STARTED_AT_MS), () => restarts.push(0));
    list.replace([], clock.monotonicMs(), 10);
    expect(restarts).toEqual([]);
    list.replace([born(FIRST_STARTED_AT_MS + 900)], clock.monotonicMs(), 11);
    expect(restarts).toEqual([FIRST_STARTED_AT_MS + 900, 0]);
  });

  it('lists the same incarnation again if its entry had expired but it still runs', () => {
    const { clock, list, restarts, current } = listOfOne();
    list.watchIncarnation(born(FIRST_STARTED_AT_MS), () => restarts.push(0));
    list.replace([], clock.monotonicMs(), 10);
    list.replace([born(FIRST_STARTED_AT_MS)], clock.monotonicMs(), 11);
    expect(current()).toBe(FIRST_STARTED_AT_MS);
    expect(restarts).toEqual([]);
  });

  it('keeps the later incarnation when a heartbeat of the previous one arrives late', async () => {
    const { clock, restarts, read, current } = listOfOne();
    read(born(FIRST_STARTED_AT_MS + 50));
    read(born(FIRST_STARTED_AT_MS));
    await clock.advance(LONG_MS);
    read(born(FIRST_STARTED_AT_MS));
    expect(current()).toBe(FIRST_STARTED_AT_MS + 50);
    expect(restarts).toHaveLength(1);
  });

  it('accepts an earlier start time that stays listed, as after the clock was set back', async () => {
    const { clock, list, read, current } = listOfOne();
    read(born(FIRST_STARTED_AT_MS - 2000, 2));
    expect(current()).toBe(FIRST_STARTED_AT_MS);
    await clock.advance(LONG_MS);
    list.confirm(clock.monotonicMs());
    expect(current()).toBe(FIRST_STARTED_AT_MS - 2000);
  });

  it('discards an earlier start time once the later incarnation has written again', async () => {
    const { clock, restarts, read, current } = listOfOne();
    read(born(FIRST_STARTED_AT_MS - 2000));
    await clock.advance(2000);
    read(born(FIRST_STARTED_AT_MS));
    await clock.advance(2000);
    read(born(FIRST_STARTED_AT_MS - 2000));
    expect(current()).toBe(FIRST_STARTED_AT_MS);
    expect(restarts).toEqual([]);
  });

  it('accepts the start time that the server itself reports at once, whatever the list contains', async () => {
    const { clock, list, restarts, read, current } = listOfOne();
    list.onStartTime(born(FIRST_STARTED_AT_MS), FIRST_STARTED_AT_MS - 2000);
    expect(current()).toBe(FIRST_STARTED_AT_MS - 2000);
    read(born(FIRST_STARTED_AT_MS));
    expect(current()).toBe(FIRST_STARTED_AT_MS - 2000);
    await clock.advance(LONG_MS);
    read(born(FIRST_STARTED_AT_MS - 2000));
    list.onStartTime(born(FIRST_STARTED_AT_MS), FIRST_STARTED_AT_MS);
    expect(current()).toBe(FIRST_STARTED_AT_MS - 2000);
    expect(restarts).toEqual([FIRST_STARTED_AT_MS - 2000]);
  });

  it('knows the current incarnation after each of its heartbeats, over random sequences of restarts and late heartbeats', () => {
    const step = fc.oneof(
      fc.record({
        kind: fc.constant('start' as const),
        afterMs: fc.integer({ min: 1, max: 5000 }),
      }),
      fc.record({ kind: fc.constant('beat' as const), afterMs: fc.integer({ min: 0, max: 1500 }) }),
      fc.record({ kind: fc.constant('late_beat' as const), afterMs: fc.constant(0) }),
      fc.record({ kind: fc.constant('read' as const), afterMs: fc.integer({ min: 0, max: 1500 }) }),
      fc.record({ kind: fc.constant('ask' as const), afterMs: fc.constant(0) }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        const { clock, list, read, current } = listOfOne();
        let latestStartedAtMs = FIRST_STARTED_AT_MS;
        let known = FIRST_STARTED_AT_MS;
        let stored = born(FIRST_STARTED_AT_MS);
        let before = stored;
        const endedStartTimes: number[] = [];
        const watch = (startedAtMs: number) => {
          list.watchIncarnation(born(startedAtMs), () => endedStartTimes.push(startedAtMs));
        };
        watch(latestStartedAtMs);
        for (const { kind, afterMs } of steps) {
          clock.skip(afterMs);
          if (kind === 'start') latestStartedAtMs += afterMs;
          if (kind === 'beat' && stored.startedAtMs !== latestStartedAtMs)
            [before, stored] = [stored, born(latestStartedAtMs)];
          if (kind === 'late_beat') stored = before;
          if (kind === 'ask') list.onStartTime(born(known), latestStartedAtMs);
          if (kind === 'read') read(stored);
          const isReported =
            kind === 'ask' || (kind === 'read' && stored.startedAtMs === latestStartedAtMs);
          if (isReported) {
            expect(current()).toBe(latestStartedAtMs);
            if (known !== latestStartedAtMs) expect(endedStartTimes.at(-1)).toBe(known);
            if (known !== latestStartedAtMs) watch(latestStartedAtMs);
            known = latestStartedAtMs;
          } else expect(current()).toBeGreaterThanOrEqual(known);
          if (current() !== known) {
            known = current() ?? known;
            watch(known);
          }
        }
        expect(new Set(endedStartTimes).size).toBe(endedStartTimes.length);
        expect(endedStartTimes).not.toContain(known);
      }),
      { numRuns: 1000, seed: 7 },
    );
  });
});
