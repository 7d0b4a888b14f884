import { ManualClock } from '@poppypond/mocks';
import type { BackendServer } from '@poppypond/fleet';
import { silentLog } from '@poppypond/telemetry';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ServerList } from './server-list.js';

function server(id: string, isDraining = false): BackendServer {
  return { id, service: 's', address: 'a', port: 1, availabilityZone: 'z', slots: 1, isDraining };
}

function idsOf(list: ServerList): readonly string[] {
  return list.available('s').map(({ id }) => id);
}

describe('ServerList', () => {
  it('drops servers that are no longer listed, and draining servers, at once', () => {
    const list = new ServerList(new ManualClock(), silentLog);
    list.replace([server('a'), server('b')], 0, 0);
    list.replace([server('a', true)], 0, 0);
    expect(idsOf(list)).toEqual([]);
  });

  it('keeps entries that expired during a store outage for two seconds after its end', async () => {
    const clock = new ManualClock();
    const list = new ServerList(clock, silentLog);
    list.replace([server('a'), server('b')], 0, 0);
    list.onStoreUnavailable();
    await clock.advance(8000);
    list.replace([server('a')], 0, 0);
    expect(idsOf(list)).toEqual(['a', 'b']);
    expect(list.keepsUnlisted).toBe(true);
    await clock.advance(1900);
    list.replace([server('a')], 0, 0);
    expect(idsOf(list)).toEqual(['a', 'b']);
    await clock.advance(200);
    list.replace([server('a')], 0, 0);
    expect(idsOf(list)).toEqual(['a']);
    expect(list.keepsUnlisted).toBe(false);
  });

  it('drops an entry at once if only this host lost the store while peers confirmed the list', async () => {
    const clock = new ManualClock();
    const list = new ServerList(clock, silentLog);
    list.replace([server('a'), server('b')], clock.monotonicMs(), 1);
    list.onStoreUnavailable();
    await clock.advance(8000);
    list.freshness.confirm(clock.monotonicMs() - 800);
    list.replace([server('a'), server('b')], clock.monotonicMs(), 1);
    await clock.advance(400);
    list.replace([server('a')], clock.monotonicMs(), 2);
    expect(idsOf(list)).toEqual(['a']);
  });

  it('applies the grace period that a peer reports instead of one for its own loss of the store', async () => {
    const clock = new ManualClock();
    const list = new ServerList(clock, silentLog);
    list.replace([server('a'), server('b')], clock.monotonicMs(), 1);
    list.onStoreUnavailable();
    await clock.advance(8000);
    list.adopt({ servers: [server('a')], version: 2, graceMs: 0 });
    expect(idsOf(list)).toEqual(['a']);
  });

  it('counts the two seconds from the end of the outage even if the store returns nothing newer then', async () => {
    const clock = new ManualClock();
    const list = new ServerList(clock, silentLog);
    list.replace([server('a'), server('b')], clock.monotonicMs(), 5);
    list.onStoreUnavailable();
    await clock.advance(8000);
    list.replace([server('a'), server('b')], clock.monotonicMs(), 4);
    await clock.advance(1900);
    list.replace([server('a')], clock.monotonicMs(), 6);
    expect(idsOf(list)).toEqual(['a', 'b']);
    await clock.advance(200);
    list.replace([server('a')], clock.monotonicMs(), 6);
    expect(idsOf(list)).toEqual(['a']);
  });

  it('adopts a newer list from a peer, never an older one, and keeps entries during the grace period', async () => {
    const clock = new ManualClock();
    const list = new ServerList(clock, silentLog);
    list.replace([server('a'), server('b')], clock.monotonicMs(), 5);
    await clock.advance(100);
    list.adopt({ servers: [server('a')], version: 4, graceMs: 0 });
    expect(idsOf(list)).toEqual(['a', 'b']);
    list.adopt({ servers: [server('a')], version: 6, graceMs: 500 });
    expect(idsOf(list)).toEqual(['a', 'b']);
    expect(list.keepsUnlisted).toBe(true);
    expect(list.freshness.ageMs()).toBe(100);
    await clock.advance(600);
    list.adopt({ servers: [server('a')], version: 7, graceMs: 0 });
    expect(idsOf(list)).toEqual(['a']);
  });

  it('adopts the list of a peer before the store has responded, and no older one from the store', () => {
    const clock = new ManualClock();
    const list = new ServerList(clock, silentLog);
    list.adopt({ servers: [server('x')], version: 9, graceMs: 0 });
    expect(list.isKnown).toBe(true);
    expect(list.freshness.ageMs()).toBe(Number.POSITIVE_INFINITY);
    expect(idsOf(list)).toEqual(['x']);
    list.replace([server('a')], clock.monotonicMs(), 5);
    expect(idsOf(list)).toEqual(['x']);
    list.replace([server('a')], clock.monotonicMs(), 10);
    expect(idsOf(list)).toEqual(['a']);
  });

  it('keeps a newer list that a peer sent while its own read was in transit', () => {
    const list = new ServerList(new ManualClock(), silentLog);
    list.replace([server('a')], 0, 5);
    list.adopt({ servers: [server('a', true)], version: 8, graceMs: 0 });
    list.replace([server('a')], 0, 7);
    expect(idsOf(list)).toEqual([]);
    list.replace([server('a'), server('b')], 0, 9);
    expect(idsOf(list)).toEqual(['a', 'b']);
  });

  it('excludes a server whose address belongs to another, until it is no longer listed', () => {
    const list = new ServerList(new ManualClock(), silentLog);
    list.replace([server('a'), server('b')], 0, 0);
    list.onGone(server('a'), 'h');
    list.replace([server('a'), server('b')], 0, 0);
    expect(idsOf(list)).toEqual(['b']);
  });

  it('agrees with a simple reference model over outages and expired entries', () => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant('read' as const), ids: fc.subarray(['a', 'b', 'c']) }),
      fc.constant({ kind: 'away' as const, ids: [] }),
      fc.integer({ min: 1, max: 2500 }).map((ms) => ({ kind: 'pass' as const, ids: [], ms })),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        const clock = new ManualClock();
        const list = new ServerList(clock, silentLog);
        let expected = new Set<string>();
        let isKnown = false;
        let wasUnavailable = false;
        let graceUntilMs = 0;
        let confirmedAtMs = Number.NEGATIVE_INFINITY;
        for (const nextStep of steps) {
          if (nextStep.kind === 'pass' && 'ms' in nextStep) clock.skip(nextStep.ms);
          if (nextStep.kind === 'away') {
            wasUnavailable = true;
            list.onStoreUnavailable();
          }
          if (nextStep.kind === 'read') {
            const nowMs = clock.monotonicMs();
            const wasUnconfirmed = nowMs - confirmedAtMs > 2000;
            if (wasUnavailable && isKnown && wasUnconfirmed) graceUntilMs = nowMs + 2000;
            confirmedAtMs = nowMs;
            const kept = nowMs < graceUntilMs ? expected : [];
            expected = new Set([...kept, ...nextStep.ids]);
            isKnown = true;
            wasUnavailable = false;
            list.replace(
              nextStep.ids.map((id) => server(id)),
              nowMs,
              0,
            );
          }
          expect(idsOf(list)).toEqual([...expected].sort());
        }
      }),
      { numRuns: 500, seed: 5 },
    );
  });
});
