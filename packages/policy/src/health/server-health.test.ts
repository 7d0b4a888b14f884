import { describe, expect, it } from 'vitest';
import { ServerHealth } from './server-health.js';

describe('ServerHealth of a server that asks for backoff', () => {
  it('is unavailable until the backoff ends, even if earlier requests are served meanwhile', () => {
    const health = new ServerHealth();
    health.onBackoffRequested(3000, 0);
    health.onBackoffRequested(1000, 100);
    health.onSuccess();
    expect(health.isAvailable(2999)).toBe(false);
    expect(health.remainingBackoffMs(1000)).toBe(2000);
    expect(health.isAvailable(3000)).toBe(true);
  });

  it('is sent one request at a time after the backoff until one is served', () => {
    const health = new ServerHealth();
    health.onBackoffRequested(3000, 0);
    health.onAttempt(3000);
    expect(health.isAvailable(3000)).toBe(false);
    health.onInconclusiveEnd();
    health.onAttempt(3001);
    health.onSuccess();
    expect(health.state(3002)).toBe('open');
  });

  it('is in backoff again if the first request after a backoff is refused', () => {
    const health = new ServerHealth();
    health.onBackoffRequested(3000, 0);
    health.onAttempt(3000);
    health.onBackoffRequested(3000, 3001);
    health.onFailure(3001);
    expect(health.isAvailable(6000)).toBe(false);
    expect(health.isAvailable(6001)).toBe(true);
  });
});
