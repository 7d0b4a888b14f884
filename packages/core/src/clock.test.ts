import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SystemClock } from './clock.js';

/*
 * A host may be suspended for seconds together with all of its processes. The steady clock does not
 * advance meanwhile, so the host would continue with expired state: it would accept keys that were
 * removed since, take a replaced configuration for the newest, go on planning after other hosts
 * took over, and extend the deadlines of its callers by the time of the suspension.
 *
 * All leases, ages and timeouts of a host use `Clock.monotonicMs`, so this clock has to count the
 * suspended time. The wall clock counts it, but it is also set forward and back by seconds without
 * a suspension, so it does not prove a suspension by itself.
 */

/** A host with clocks in virtual time that can be suspended. */
class SuspendableHost {
  suspendedMs = 0;
  wallStepMs = 0;
  readonly clock = new SystemClock({
    steadyMs: () => performance.now(),
    wallMs: () => Date.now() + this.suspendedMs + this.wallStepMs,
    bootMs: () => performance.now() + this.suspendedMs,
  });

  /** Suspends the host: its steady clock and timers do not advance. */
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
  it('counts the time of a suspension from the first reading after it, and no steps of the wall clock', () => {
    const host = new SuspendableHost();
    const beforeMs = host.clock.monotonicMs();
    vi.advanceTimersByTime(100);
    host.suspend(4000);
    expect(host.clock.monotonicMs()).toBe(beforeMs + 4100);
    host.suspend(300);
    vi.advanceTimersByTime(50);
    expect(host.clock.monotonicMs()).toBe(beforeMs + 4450);
    // A step of the wall clock does not count, alone or together with a suspension.
    host.wallStepMs = 5000;
    expect(host.clock.monotonicMs()).toBe(beforeMs + 4450);
    host.wallStepMs = -2000;
    expect(host.clock.monotonicMs()).toBe(beforeMs + 4450);
    host.suspend(3000);
    host.wallStepMs = 2500;
    expect(host.clock.monotonicMs()).toBe(beforeMs + 7450);
    // A suspension that is hidden by a step is detected within a second.
    const cancel = host.clock.every(500, () => undefined);
    host.suspend(3000);
    host.wallStepMs = -500;
    vi.advanceTimersByTime(1000);
    expect(host.clock.monotonicMs()).toBe(beforeMs + 11_450);
    cancel();
  });

  it('runs timers that came due during a suspension at once, and the others on time', () => {
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
