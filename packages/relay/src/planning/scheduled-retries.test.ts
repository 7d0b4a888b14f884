import { describe, expect, it } from 'vitest';
import { ScheduledRetries } from './scheduled-retries.js';

function refused(content: string, expectedAtMs = 0, deadlineAtMs = 30_000) {
  return { content, expectedAtMs, deadlineAtMs, perSecond: 8 };
}

describe('ScheduledRetries', () => {
  it('schedules the retries of refused callers one after another', () => {
    const retries = new ScheduledRetries();
    const told = ['a', 'b', 'c'].map((content) => retries.schedule(refused(content, 100), 0));
    expect(told).toEqual([100, 350, 600]);
  });

  it('recognizes a caller that retries at about its time, once', () => {
    const retries = new ScheduledRetries();
    const atMs = retries.schedule(refused('a', 1000), 0);
    expect(retries.isDue('a', atMs - 500)).toBe(false);
    expect(retries.isDue('a', atMs)).toBe(true);
    expect(retries.isDue('b', atMs)).toBe(false);
    retries.settle('a', atMs);
    expect(retries.isDue('a', atMs)).toBe(false);
  });

  it('reserves no time for a caller whose time limit is too short', () => {
    const retries = new ScheduledRetries();
    expect(retries.schedule(refused('a', 2000, 3000), 0)).toBe(2000);
    expect(retries.isDue('a', 2000)).toBe(false);
    expect(retries.schedule(refused('b', 100), 0)).toBe(100);
  });

  it('reserves a time for each of several requests with the same content', () => {
    const retries = new ScheduledRetries();
    retries.schedule(refused('a', 100), 0);
    retries.schedule(refused('a', 100), 0);
    retries.settle('a', 100);
    expect(retries.isDue('a', 350)).toBe(true);
  });

  it('reserves permits for scheduled retries, and only briefly for those that do not arrive', () => {
    const retries = new ScheduledRetries();
    retries.schedule(refused('a', 1000), 0);
    retries.schedule(refused('b', 1000), 0);
    expect(retries.reservedUntil(900, 800)).toBe(0);
    expect(retries.reservedUntil(1100, 900)).toBe(1);
    expect(retries.reservedUntil(1300, 1200)).toBe(2);
    expect(retries.reservedUntil(1600, 1500)).toBe(1);
  });

  it('forgets callers that do not retry', () => {
    const retries = new ScheduledRetries();
    retries.schedule(refused('a', 100), 0);
    retries.schedule(refused('b', 9000), 8000);
    expect(retries.isDue('a', 2000)).toBe(false);
    expect(retries.isDue('b', 9000)).toBe(true);
  });
});
