import { describe, expect, it } from 'vitest';
import { ExponentialBackoff } from './exponential-backoff.js';

describe('ExponentialBackoff', () => {
  it('doubles with each failure up to its maximum, and starts over after a success', () => {
    const backoff = new ExponentialBackoff(250, 1200);
    expect([
      backoff.next(),
      backoff.next(),
      backoff.next(),
      backoff.next(),
      backoff.next(),
    ]).toEqual([250, 500, 1000, 1200, 1200]);
    backoff.reset();
    expect(backoff.next()).toBe(250);
  });
});
