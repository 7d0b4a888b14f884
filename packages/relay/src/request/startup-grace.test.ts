import { fault } from '@poppypond/core';
import type { Fault } from '@poppypond/core';
import { ManualClock } from '@poppypond/mocks';
import { Result } from 'true-myth';
import { describe, expect, it } from 'vitest';
import { StartupGrace } from './startup-grace.js';

function refused(code: 'not_ready' | 'unknown_route'): Result<string, Fault> {
  return Result.err(fault(code, 'why'));
}

/** A host that knows what holds from `knownAtMs` on, and callers that come every 20 ms from its start. */
async function simulateStart(knownAtMs: number, forMs: number) {
  const clock = new ManualClock();
  const startedAtMs = clock.monotonicMs();
  const grace = new StartupGrace(clock);
  const sinceStart = () => clock.monotonicMs() - startedAtMs;
  const admit = () =>
    sinceStart() >= knownAtMs ? Result.ok<string, Fault>('in') : refused('not_ready');
  const ended: { readonly isServed: boolean; readonly waitedMs: number }[] = [];
  for (let passedMs = 0; passedMs < forMs; passedMs += 10) {
    if (passedMs % 20 === 0) {
      const arrivedMs = sinceStart();
      void grace
        .waitForAdmission(admit, () => false)
        .then(({ isOk }) => ended.push({ isServed: isOk, waitedMs: sinceStart() - arrivedMs }));
    }
    await clock.advance(10);
  }
  return ended;
}

describe('StartHold', () => {
  // Before, all twelve that came until the host knew what holds were refused.
  it('lets all in that come after a start and before the host is told what holds', async () => {
    const ended = await simulateStart(240, 600);
    expect(ended).toHaveLength(30);
    expect(ended.every(({ isServed }) => isServed)).toBe(true);
    expect(Math.max(...ended.map(({ waitedMs }) => waitedMs))).toBeLessThanOrEqual(250);
  });

  it('refuses at once where nothing is told in time, and from then on without a wait', async () => {
    const ended = await simulateStart(10_000, 1000);
    expect(ended.every(({ isServed }) => !isServed)).toBe(true);
    expect(ended.slice(-20).every(({ waitedMs }) => waitedMs === 0)).toBe(true);
    expect(Math.max(...ended.map(({ waitedMs }) => waitedMs))).toBeLessThanOrEqual(510);
  });

  it('lets those in that come just after a pause and before the host is told what holds anew', async () => {
    const clock = new ManualClock();
    const hold = new StartupGrace(clock);
    await clock.advance(60_000);
    let isKnown = false;
    const admit = () => (isKnown ? Result.ok<string, Fault>('in') : refused('not_ready'));
    const isDisconnected = () => false;
    expect((await hold.waitForAdmission(admit, isDisconnected)).isErr).toBe(true);
    hold.onPause();
    const admitted = hold.waitForAdmission(admit, isDisconnected);
    await clock.advance(30);
    isKnown = true;
    await clock.advance(20);
    expect((await admitted).isOk).toBe(true);
  });

  it('waits for nothing else, and not for a caller that has left', async () => {
    const hold = new StartupGrace(new ManualClock());
    const unknown = await hold.waitForAdmission(
      () => refused('unknown_route'),
      () => false,
    );
    expect(unknown.isErr && unknown.error.code).toBe('unknown_route');
    const gone = await hold.waitForAdmission(
      () => refused('not_ready'),
      () => true,
    );
    expect(gone.isErr).toBe(true);
  });
});
