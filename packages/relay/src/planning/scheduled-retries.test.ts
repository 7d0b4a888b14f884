import { describe, expect, it } from 'vitest';
import { ScheduledRetries } from './scheduled-retries.js';

function refused(content: string, expectedAtMs = 0, deadlineAtMs = 30_000) {
  return { content, expectedAtMs, deadlineAtMs, perSecond: 8 };
}

describe('ReturnPromises', () => {
  it('tells callers that were refused one after the other to come back one after the other', () => {
    const returns = new ScheduledRetries();
    const told = ['a', 'b', 'c'].map((content) => returns.schedule(refused(content, 100), 0));
    expect(told).toEqual([100, 350, 600]);
  });

  it('knows a caller that comes back about when it was told to, once', () => {
    const returns = new ScheduledRetries();
    const atMs = returns.schedule(refused('a', 1000), 0);
    expect(returns.isDue('a', atMs - 500)).toBe(false);
    expect(returns.isDue('a', atMs)).toBe(true);
    expect(returns.isDue('b', atMs)).toBe(false);
    returns.settle('a', atMs);
    expect(returns.isDue('a', atMs)).toBe(false);
  });

  it('promises nothing to one whose time does not allow it, and keeps no moment for it', () => {
    const returns = new ScheduledRetries();
    expect(returns.schedule(refused('a', 2000, 3000), 0)).toBe(2000);
    expect(returns.isDue('a', 2000)).toBe(false);
    expect(returns.schedule(refused('b', 100), 0)).toBe(100);
  });

  it('keeps a moment for each of several that ask the same', () => {
    const returns = new ScheduledRetries();
    returns.schedule(refused('a', 100), 0);
    returns.schedule(refused('a', 100), 0);
    returns.settle('a', 100);
    expect(returns.isDue('a', 350)).toBe(true);
  });

  it('keeps places for callers that are to come back, and not for long for those that do not', () => {
    const returns = new ScheduledRetries();
    returns.schedule(refused('a', 1000), 0);
    returns.schedule(refused('b', 1000), 0);
    expect(returns.reservedUntil(900, 800)).toBe(0);
    expect(returns.reservedUntil(1100, 900)).toBe(1);
    expect(returns.reservedUntil(1300, 1200)).toBe(2);
    expect(returns.reservedUntil(1600, 1500)).toBe(1);
  });

  it('forgets callers that do not come back', () => {
    const returns = new ScheduledRetries();
    returns.schedule(refused('a', 100), 0);
    returns.schedule(refused('b', 9000), 8000);
    expect(returns.isDue('a', 2000)).toBe(false);
    expect(returns.isDue('b', 9000)).toBe(true);
  });
});
