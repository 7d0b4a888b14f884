import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SystemClock } from './clock.js';

/*
 * What users saw: nothing yet. A host may be suspended for seconds, with all that runs on it. Its steady clock
 * stands still meanwhile, and it wakes with all that it believed before: keys that were removed since still
 * count, a configuration that was replaced is the newest, a host that others took over from plans on, and
 * what callers are still to be given is longer by the time that it slept.
 *
 * Evidence: every lease, age and limit of a host rests on `Clock.monotonicMs`, and that on a clock that does
 * not count the time; the time of day does, but it is also set forward and back by seconds without any
 * suspension, so that alone it proves nothing.
 */

/** A machine whose clocks go on in virtual time. */
class SuspendableHost {
  suspendedMs = 0;
  wallStepMs = 0;
  readonly clock = new SystemClock({
    steadyMs: () => performance.now(),
    wallMs: () => Date.now() + this.suspendedMs + this.wallStepMs,
    bootMs: () => performance.now() + this.suspendedMs,
  });

  /** It sleeps; nothing that runs on it notices. */
  suspend(forMs: number): void {
    this.suspendedMs += forMs;
  }
}

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

describe('SystemClock', () => {
  it('counts the time for which its machine was suspended, at the first look after it, and no step of the time of day', () => {
    const host = new SuspendableHost();
    const beforeMs = host.clock.monotonicMs();
    vi.advanceTimersByTime(100);
    host.suspend(4000);
    expect(host.clock.monotonicMs()).toBe(beforeMs + 4100);
    host.suspend(300);
    vi.advanceTimersByTime(50);
    expect(host.clock.monotonicMs()).toBe(beforeMs + 4450);
    // A step of the time of day is none, alone or together with one.
    host.wallStepMs = 5000;
    expect(host.clock.monotonicMs()).toBe(beforeMs + 4450);
    host.wallStepMs = -2000;
    expect(host.clock.monotonicMs()).toBe(beforeMs + 4450);
    host.suspend(3000);
    host.wallStepMs = 2500;
    expect(host.clock.monotonicMs()).toBe(beforeMs + 7450);
    // One that a step hides is seen within a second.
    const cancel = host.clock.every(500, () => undefined);
    host.suspend(3000);
    host.wallStepMs = -500;
    vi.advanceTimersByTime(1000);
    expect(host.clock.monotonicMs()).toBe(beforeMs + 11_450);
    cancel();
  });

  it('calls at once what was due while its machine was suspended, and the rest in time', () => {
    const host = new SuspendableHost();
    const called: string[] = [];
    host.clock.monotonicMs();
    host.clock.after(2000, () => called.push('due'));
    host.clock.after(6000, () => called.push('later'));
    const cancel = host.clock.after(1000, () => called.push('cancelled'));
    cancel();
    const cancelEvery = host.clock.every(3000, () => called.push('every'));
    host.suspend(4000);
    host.clock.monotonicMs();
    vi.advanceTimersByTime(1);
    expect(called).toEqual(['due', 'every']);
    vi.advanceTimersByTime(1999);
    expect(called).toEqual(['due', 'every', 'later']);
    vi.advanceTimersByTime(1002);
    expect(called).toEqual(['due', 'every', 'later', 'every']);
    cancelEvery();
    vi.advanceTimersByTime(10_000);
    expect(called).toHaveLength(4);
  });
});
