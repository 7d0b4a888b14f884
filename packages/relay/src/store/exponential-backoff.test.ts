import { describe, expect, it } from 'vitest';
import { ExponentialBackoff } from './exponential-backoff.js';

describe('ExponentialBackoff', () => {
  it('doubles with each failure up to its maximum, and starts over after a success', () => {
    const pause = new ExponentialBackoff(250, 1200);
    expect([pause.next(), pause.next(), pause.next(), pause.next(), pause.next()]).toEqual([
      250, 500, 1000, 1200, 1200,
    ]);
    pause.reset();
    expect(pause.next()).toBe(250);
  });
});
