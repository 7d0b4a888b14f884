import { describe, expect, it } from 'vitest';
import { ScheduledRetries } from './scheduled-retries.js';

function refused(content: string, expectedAtMs = 0, deadlineAtMs = 30_000) {
  return { content, expectedAtMs, deadlineAtMs, perSecond: 8 };
}

describe('ScheduledRetries', () => {
  it('schedules the retries of refused callers one after another', () => {
    const returns = new ScheduledRetries();
    const told = ['a', 'b', 'c'].map((content) => returns.schedule(refused(content, 100), 0));
    expect(told).toEqual([100, 350, 600]);
  });

  it('recognizes a caller that retries at about its time, once', () => {
    const returns = new ScheduledRetries();
    const atMs = returns.schedule(refused('a', 1000), 0);
    expect(returns.isDue('a', atMs - 500)).toBe(false);
    expect(returns.isDue('a', atMs)).toBe(true);
    expect(returns.isDue('b', atMs)).toBe(false);
    returns.settle('a', atMs);
    expect(returns.isDue('a', atMs)).toBe(false);
  });

  it('reserves no time for a caller whose time limit is too short', () => {
    const returns = new ScheduledRetries();
    expect(returns.schedule(refused('a', 2000, 3000), 0)).toBe(2000);
    expect(returns.isDue('a', 2000)).toBe(false);
    expect(returns.schedule(refused('b', 100), 0)).toBe(100);
  });

  it('reserves a time for each of several requests with the same content', () => {
    const returns = new ScheduledRetries();
    returns.schedule(refused('a', 100), 0);
    returns.schedule(refused('a', 100), 0);
    returns.settle('a', 100);
    expect(returns.isDue('a', 350)).toBe(true);
  });

  it('reserves permits for scheduled retries, and only briefly for those that do not arrive', () => {
    const returns = new ScheduledRetries();
    returns.schedule(refused('a', 1000), 0);
    returns.schedule(refused('b', 1000), 0);
    expect(returns.reservedUntil(900, 800)).toBe(0);
    expect(returns.reservedUntil(1100, 900)).toBe(1);
    expect(returns.reservedUntil(1300, 1200)).toBe(2);
    expect(returns.reservedUntil(1600, 1500)).toBe(1);
  });

  it('forgets callers that do not retry', () => {
    const returns = new ScheduledRetries();
    returns.schedule(refused('a', 100), 0);
    returns.schedule(refused('b', 9000), 8000);
    expect(returns.isDue('a', 2000)).toBe(false);
    expect(returns.isDue('b', 9000)).toBe(true);
  });
});
