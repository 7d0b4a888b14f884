import { newOwner } from '@poppypond/core';
import { ManualClock, MemoryRows, MemoryTable, UncheckedRows } from '@poppypond/mocks';
import type { CallOutcome } from '@poppypond/mocks';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Lease } from './lease.js';

const DURATION_MS = 900;
const CALL_MS = 20;

const step = fc.record({
  host: fc.integer({ min: 0, max: 2 }),
  kind: fc.constantFrom('tick', 'tick', 'tick', 'pause', 'release'),
  callOutcome: fc.constantFrom<CallOutcome>('ok', 'ok', 'ok', 'down', 'lost'),
  byMs: fc.integer({ min: 0, max: 700 }),
});

/**
 * Three hosts tick, pause and release in any order; at most one holds the lease, and fencing tokens
 * never decrease.
 */
function exclusiveHolderProperty(makeRows: () => MemoryRows) {
  return fc.asyncProperty(fc.array(step, { maxLength: 60 }), async (steps) => {
    const rows = makeRows();
    const clock = new ManualClock();
    let callOutcome: CallOutcome = 'ok';
    const leases = [0, 1, 2].map((host) => {
      const yieldAt = () => delayCall(clock);
      const table = new MemoryTable(rows, () => callOutcome, yieldAt);
      return new Lease('pool', newOwner(`h${String(host)}`), table, clock, DURATION_MS);
    });
    let highestFence = 0;
    for (const next of steps) {
      callOutcome = next.callOutcome;
      const lease = leases[next.host];
      if (next.kind === 'tick') void lease?.tick();
      if (next.kind === 'release') void lease?.release();
      await clock.advance(next.byMs);
      const held = leases.flatMap((one) => one.held() ?? []);
      expect(held.length).toBeLessThanOrEqual(1);
      for (const { fence } of held) {
        expect(fence).toBeGreaterThanOrEqual(highestFence);
        highestFence = fence;
      }
    }
  });
}

/**
 * Delays each table call before and after it takes effect, so that calls of different hosts
 * overlap.
 */
function delayCall(clock: ManualClock): Promise<void> {
  return new Promise((resolve) => {
    clock.after(CALL_MS, resolve);
  });
}

describe('Lease', () => {
  it('has at most one holder at a time, and a fencing token that never decreases', async () => {
    await fc.assert(
      exclusiveHolderProperty(() => new MemoryRows()),
      { seed: 22, numRuns: 1000 },
    );
  });

  it('violates the property if the store ignores version checks', async () => {
    const checked = await fc.check(
      exclusiveHolderProperty(() => new UncheckedRows()),
      { seed: 22, numRuns: 1000 },
    );
    expect(checked.failed).toBe(true);
  });

  it('is taken over from a paused holder, which then knows that it no longer holds it', async () => {
    const rows = new MemoryRows();
    const clock = new ManualClock();
    const table = new MemoryTable(rows);
    const first = new Lease('pool', newOwner('a'), table, clock, DURATION_MS);
    const second = new Lease('pool', newOwner('b'), table, clock, DURATION_MS);
    await first.tick();
    await second.tick();
    expect(second.held()).toBeUndefined();
    clock.skip(DURATION_MS);
    expect(first.held()).toBeUndefined();
    await second.tick();
    expect(second.held()?.fence).toBe(2);
    await first.tick();
    expect(first.held()).toBeUndefined();
  });
});
