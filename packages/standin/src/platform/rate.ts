import type { Clock } from '@poppypond/core';

const MS_PER_SECOND = 1000;

/** Counts calls and allows at most `perSecond` of them, with one second's burst. */
export class RateLimit {
  total = 0;
  refused = 0;
  #allowance: number;
  #lastMs: number;

  constructor(
    readonly perSecond: number,
    readonly clock: Clock,
  ) {
    this.#allowance = perSecond;
    this.#lastMs = clock.monotonicMs();
  }

  allow(): boolean {
    const now = this.clock.monotonicMs();
    const gained = ((now - this.#lastMs) * this.perSecond) / MS_PER_SECOND;
    this.#allowance = Math.min(this.perSecond, this.#allowance + gained);
    this.#lastMs = now;
    if (this.#allowance < 1) {
      this.refused += 1;
      return false;
    }
    this.#allowance -= 1;
    this.total += 1;
    return true;
  }
}
