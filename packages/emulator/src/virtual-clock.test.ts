import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { VirtualClock } from './virtual-clock.js';

describe('VirtualClock', () => {
  it('fires timers in order of time, and in the order in which they were set if due together', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(20), { maxLength: 60 }), (delays) => {
        const clock = new VirtualClock();
        const fired: { readonly atMs: number; readonly index: number }[] = [];
        for (const [index, delayMs] of delays.entries()) {
          clock.after(delayMs, () => fired.push({ atMs: clock.monotonicMs(), index }));
        }
        clock.runUntil(20);
        const wanted = delays
          .map((atMs, index) => ({ atMs, index }))
          .sort((left, right) => left.atMs - right.atMs || left.index - right.index);
        expect(fired).toEqual(wanted);
      }),
      { seed: 7 },
    );
  });

  it('fires no cancelled timer and no timer after the requested time', () => {
    const clock = new VirtualClock();
    const fired: string[] = [];
    const cancel = clock.after(5, () => fired.push('cancelled'));
    cancel();
    const stop = clock.every(10, () => fired.push('again'));
    clock.runUntil(35);
    stop();
    clock.runUntil(100);
    expect(fired).toEqual(['again', 'again', 'again']);
    expect(clock.monotonicMs()).toBe(100);
  });
});
