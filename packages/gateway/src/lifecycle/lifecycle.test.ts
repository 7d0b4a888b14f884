import { ManualClock } from '@poppypond/mocks';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Lifecycle } from './lifecycle.js';

const DRAIN_DELAY_MS = 300;

describe('Lifecycle', () => {
  it('accepts requests during the drain delay and stops only when every request has ended', async () => {
    const step = fc.record({
      kind: fc.constantFrom('begin', 'end', 'drain', 'wait'),
      elapseMs: fc.integer({ min: 0, max: 200 }),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
        const clock = new ManualClock();
        const lifecycle = new Lifecycle(clock);
        lifecycle.onServing();
        const openRequests: (() => void)[] = [];
        let drainStartedAtMs: number | undefined;
        let isStopped = false;
        const drain = () => {
          drainStartedAtMs = clock.monotonicMs();
          void lifecycle.drain(DRAIN_DELAY_MS).then(() => {
            isStopped = true;
          });
        };
        for (const { kind, elapseMs } of [...steps, { kind: 'drain', elapseMs: DRAIN_DELAY_MS }]) {
          if (kind === 'begin' && lifecycle.acceptsRequests) openRequests.push(lifecycle.begin());
          if (kind === 'end') openRequests.shift()?.();
          if (kind === 'drain' && drainStartedAtMs === undefined) drain();
          await clock.advance(elapseMs);
          expect(lifecycle.inProgress).toBe(openRequests.length);
          if (isStopped) expect(openRequests).toEqual([]);
          const drainingForMs = clock.monotonicMs() - (drainStartedAtMs ?? clock.monotonicMs());
          expect(lifecycle.acceptsRequests).toBe(drainingForMs < DRAIN_DELAY_MS);
          expect(lifecycle.isStopping).toBe(drainStartedAtMs !== undefined);
        }
        for (const end of openRequests.splice(0)) end();
        await clock.advance(DRAIN_DELAY_MS);
        expect(lifecycle.state).toBe('stopped');
      }),
      { seed: 52, numRuns: 1000 },
    );
  });
});
