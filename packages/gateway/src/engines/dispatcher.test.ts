import { ManualClock } from '@poppypond/mocks';
import { LeastTokensPlacement } from '@poppypond/policy';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Dispatcher } from './dispatcher.js';
import type { PlacementRequest } from './dispatcher.js';
import { FakeDirectory } from './mocks/fake-directory.js';

/** Longest time for which requests may still be placed on a server that is leaving. */
const MAX_NOTICE_DELAY_MS = 3000;

function buildRequest(signal: AbortSignal): PlacementRequest {
  return {
    job: {
      promptTokens: 100,
      outputTokens: 10,
      priority: 5,
      lane: 'short',
      zone: 'a',
      cachedTokens: () => 0,
    },
    pools: ['p'],
    model: 'm',
    workspace: 'w',
    weight: 1,
    rule: 'r@1',
    maxQueuedTokens: 100_000,
    maxWaitMs: 5000,
    avoidedEngines: new Set(),
    signal,
  };
}

describe('Dispatcher', () => {
  it('places no request on a server that has been leaving or silent for longer than 3 s', async () => {
    const step = fc.record({
      kind: fc.constantFrom('place', 'place', 'own-word', 'list', 'silent', 'return', 'wait'),
      engine: fc.integer({ min: 0, max: 2 }),
      elapseMs: fc.integer({ min: 0, max: 2000 }),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 30 }), async (steps) => {
        const clock = new ManualClock();
        const directory = new FakeDirectory(3, clock);
        const dispatcher = new Dispatcher(
          directory,
          new LeastTokensPlacement(),
          { next: () => 0 },
          clock,
        );
        const leavingSinceMs = new Map<number, number>();
        const signal = new AbortController().signal;
        for (const { kind, engine, elapseMs } of steps) {
          if (kind === 'place') {
            const placed = await Promise.race([
              dispatcher.place(buildRequest(signal)),
              Promise.resolve(undefined),
            ]);
            if (placed?.isOk) {
              const index = directory.indexOf(placed.value.engine.name);
              const leavingAtMs = leavingSinceMs.get(index);
              if (leavingAtMs !== undefined)
                expect(clock.monotonicMs() - leavingAtMs).toBeLessThanOrEqual(MAX_NOTICE_DELAY_MS);
            }
          }
          if (kind === 'own-word' || kind === 'list' || kind === 'silent') {
            directory.leave(engine, kind);
            if (!leavingSinceMs.has(engine)) leavingSinceMs.set(engine, clock.monotonicMs());
          }
          if (kind === 'return') {
            directory.restore(engine);
            leavingSinceMs.delete(engine);
          }
          await clock.advance(elapseMs);
          directory.sendReports();
          dispatcher.processQueue();
        }
      }),
      { seed: 53, numRuns: 1000 },
    );
  });

  it('removes a waiting request when its caller disconnects and expires one after its maximum wait', async () => {
    const clock = new ManualClock();
    const directory = new FakeDirectory(0, clock);
    const dispatcher = new Dispatcher(
      directory,
      new LeastTokensPlacement(),
      { next: () => 0 },
      clock,
    );
    const abort = new AbortController();
    const gone = dispatcher.place(buildRequest(abort.signal));
    const late = dispatcher.place(buildRequest(new AbortController().signal));
    abort.abort();
    const first = await gone;
    expect(first.isErr && first.error.code).toBe('cancelled_waiting');
    expect(dispatcher.waitingCount).toBe(1);
    await clock.advance(5001);
    const second = await late;
    expect(second.isErr && second.error.code).toBe('wait_expired');
  });
});
