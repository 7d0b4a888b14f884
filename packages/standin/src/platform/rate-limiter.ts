import type { Clock } from '@poppypond/core';

const MS_PER_SECOND = 1000;

/** Counts calls and allows `perSecond` of them: a token bucket that holds one second's calls. */
export class RateLimiter {
  total = 0;
  refused = 0;
  #tokens: number;
  #lastRefillAtMs: number;

  constructor(
    readonly perSecond: number,
    readonly clock: Clock,
  ) {
    this.#tokens = perSecond;
    this.#lastRefillAtMs = clock.monotonicMs();
  }

  allow(): boolean {
    const now = this.clock.monotonicMs();
    const refilled = ((now - this.#lastRefillAtMs) * this.perSecond) / MS_PER_SECOND;
    this.#tokens = Math.min(this.perSecond, this.#tokens + refilled);
    this.#lastRefillAtMs = now;
    if (this.#tokens < 1) {
      this.refused += 1;
      return false;
    }
    this.#tokens -= 1;
    this.total += 1;
    return true;
  }
}
