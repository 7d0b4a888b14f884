import type { BackendServer } from '@poppypond/fleet';
import { ManualClock } from '@poppypond/mocks';
import { silentLog } from '@poppypond/telemetry';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ServerList } from './server-list.js';

const FIRST_BORN = 1_783_190_637_086;
/** Longer than it takes until an earlier birth is believed. */
const LONG_MS = 4000;

function born(bornMs: number, port = 1): BackendServer {
  const place = { id: 'a', service: 's', address: '10.0.0.1', port, availabilityZone: 'z' };
  return { ...place, slots: 1, isDraining: false, startedAtMs: bornMs };
}

/** A list that has read the life born at `FIRST_BORN`, and what it has said since. */
function listOfOne() {
  const clock = new ManualClock();
  const list = new ServerList(clock, silentLog);
  const begun: (number | undefined)[] = [];
  list.onNewIncarnation(({ startedAtMs: bornMs }) => begun.push(bornMs));
  let version = 0;
  const read = (server: BackendServer) => {
    version += 1;
    list.replace([server], clock.monotonicMs(), version);
  };
  read(born(FIRST_BORN));
  return { clock, list, begun, read, present: () => list.available('s')[0]?.startedAtMs };
}

describe('ServerList, of a server that starts again under its id', () => {
  it('tells who depends on the life before that it is over, and takes the server back', () => {
    const { list, begun, read, present } = listOfOne();
    const over: string[] = [];
    list.watchIncarnation(born(FIRST_BORN), () => over.push('first'));
    list.onGone(born(FIRST_BORN), 'h');
    expect(present()).toBeUndefined();
    read(born(FIRST_BORN + 50));
    expect(present()).toBe(FIRST_BORN + 50);
    expect(over).toEqual(['first']);
    expect(begun).toEqual([FIRST_BORN + 50]);
    list.onGone(born(FIRST_BORN), 'h');
    expect(present()).toBe(FIRST_BORN + 50);
  });

  it('tells nobody where only its state or nothing has changed', () => {
    const { list, begun, read } = listOfOne();
    list.watchIncarnation(born(FIRST_BORN), () => begun.push(0));
    read(born(FIRST_BORN));
    read({ ...born(FIRST_BORN), isDraining: true });
    expect(begun).toEqual([]);
  });

  it('tells those who still depend on a life whose entry had lapsed', () => {
    const { clock, list, begun } = listOfOne();
    list.watchIncarnation(born(FIRST_BORN), () => begun.push(0));
    list.replace([], clock.monotonicMs(), 10);
    expect(begun).toEqual([]);
    list.replace([born(FIRST_BORN + 900)], clock.monotonicMs(), 11);
    expect(begun).toEqual([FIRST_BORN + 900, 0]);
  });

  it('takes a server back whose entry had lapsed as what it was, where it lives on', () => {
    const { clock, list, begun, present } = listOfOne();
    list.watchIncarnation(born(FIRST_BORN), () => begun.push(0));
    list.replace([], clock.monotonicMs(), 10);
    list.replace([born(FIRST_BORN)], clock.monotonicMs(), 11);
    expect(present()).toBe(FIRST_BORN);
    expect(begun).toEqual([]);
  });

  it('goes on with the later life when a heartbeat of the one before comes late', async () => {
    const { clock, begun, read, present } = listOfOne();
    read(born(FIRST_BORN + 50));
    read(born(FIRST_BORN));
    await clock.advance(LONG_MS);
    read(born(FIRST_BORN));
    expect(present()).toBe(FIRST_BORN + 50);
    expect(begun).toHaveLength(1);
  });

  it('believes an earlier birth that stays listed, as the clock was set back', async () => {
    const { clock, list, read, present } = listOfOne();
    read(born(FIRST_BORN - 2000, 2));
    expect(present()).toBe(FIRST_BORN);
    await clock.advance(LONG_MS);
    list.confirm(clock.monotonicMs());
    expect(present()).toBe(FIRST_BORN - 2000);
  });

  it('believes an earlier birth no longer once the later life has written again', async () => {
    const { clock, begun, read, present } = listOfOne();
    read(born(FIRST_BORN - 2000));
    await clock.advance(2000);
    read(born(FIRST_BORN));
    await clock.advance(2000);
    read(born(FIRST_BORN - 2000));
    expect(present()).toBe(FIRST_BORN);
    expect(begun).toEqual([]);
  });

  it('believes the server itself at once, whatever the list says of the life before', async () => {
    const { clock, list, begun, read, present } = listOfOne();
    list.onBirthTold(born(FIRST_BORN), FIRST_BORN - 2000);
    expect(present()).toBe(FIRST_BORN - 2000);
    read(born(FIRST_BORN));
    expect(present()).toBe(FIRST_BORN - 2000);
    await clock.advance(LONG_MS);
    read(born(FIRST_BORN - 2000));
    list.onBirthTold(born(FIRST_BORN), FIRST_BORN);
    expect(present()).toBe(FIRST_BORN - 2000);
    expect(begun).toEqual([FIRST_BORN - 2000]);
  });

  it('knows the present life after every heartbeat of it, over drawn orders of starts and late ones', () => {
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
        const { clock, list, read, present } = listOfOne();
        let life = FIRST_BORN;
        let known = FIRST_BORN;
        let stored = born(FIRST_BORN);
        let before = stored;
        const overs: number[] = [];
        const watch = (bornMs: number) => {
          list.watchIncarnation(born(bornMs), () => overs.push(bornMs));
        };
        watch(life);
        for (const { kind, afterMs } of steps) {
          clock.skip(afterMs);
          if (kind === 'start') life += afterMs;
          if (kind === 'beat' && stored.startedAtMs !== life)
            [before, stored] = [stored, born(life)];
          if (kind === 'late_beat') stored = before;
          if (kind === 'ask') list.onBirthTold(born(known), life);
          if (kind === 'read') read(stored);
          const isTold = kind === 'ask' || (kind === 'read' && stored.startedAtMs === life);
          if (isTold) {
            expect(present()).toBe(life);
            if (known !== life) expect(overs.at(-1)).toBe(known);
            if (known !== life) watch(life);
            known = life;
          } else expect(present()).toBeGreaterThanOrEqual(known);
          if (present() !== known) {
            known = present() ?? known;
            watch(known);
          }
        }
        expect(new Set(overs).size).toBe(overs.length);
        expect(overs).not.toContain(known);
      }),
      { numRuns: 1000, seed: 7 },
    );
  });
});
