import { ManualClock } from '@poppypond/mocks';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Lifecycle } from './lifecycle.js';

const LEAVE_MS = 300;

describe('Lifecycle', () => {
  it('leaves the balancer first and stops only when every request has ended', async () => {
    const step = fc.record({
      kind: fc.constantFrom('begin', 'end', 'drain', 'wait'),
      byMs: fc.integer({ min: 0, max: 200 }),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
        const clock = new ManualClock();
        const lifecycle = new Lifecycle(clock);
        lifecycle.onServing();
        const open: (() => void)[] = [];
        let drainedAtMs: number | undefined;
        let isStopped = false;
        const drain = () => {
          drainedAtMs = clock.monotonicMs();
          void lifecycle.drain(LEAVE_MS).then(() => {
            isStopped = true;
          });
        };
        for (const { kind, byMs } of [...steps, { kind: 'drain', byMs: LEAVE_MS }]) {
          if (kind === 'begin' && lifecycle.takesNewRequests) open.push(lifecycle.begin());
          if (kind === 'end') open.shift()?.();
          if (kind === 'drain' && drainedAtMs === undefined) drain();
          await clock.advance(byMs);
          expect(lifecycle.inProgress).toBe(open.length);
          if (isStopped) expect(open).toEqual([]);
          const sinceMs = clock.monotonicMs() - (drainedAtMs ?? clock.monotonicMs());
          expect(lifecycle.takesNewRequests).toBe(sinceMs < LEAVE_MS);
          expect(lifecycle.isStopping).toBe(drainedAtMs !== undefined);
        }
        for (const end of open.splice(0)) end();
        await clock.advance(LEAVE_MS);
        expect(lifecycle.state).toBe('stopped');
      }),
      { seed: 52, numRuns: 1000 },
    );
  });
});
