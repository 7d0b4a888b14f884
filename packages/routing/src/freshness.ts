import type { Clock, Milliseconds } from '@poppypond/core';

/**
 * Tracks when a copy of store data was last confirmed to be the newest version. Times are of the
 * monotonic clock, and callers date each confirmation from before they sent the query, so a process
 * pause or a slow answer makes the copy look older, never fresher.
 */
export class Freshness {
  #confirmedAtMs: Milliseconds | undefined;

  constructor(readonly clock: Clock) {}

  /** Records that the copy was the newest version at `instantMs` or later. */
  confirm(instantMs: Milliseconds): void {
    if (this.#confirmedAtMs === undefined || instantMs > this.#confirmedAtMs)
      this.#confirmedAtMs = instantMs;
  }

  /** Returns the time since the last confirmation; infinite before the first. */
  ageMs(): Milliseconds {
    if (this.#confirmedAtMs === undefined) return Number.POSITIVE_INFINITY;
    return this.clock.monotonicMs() - this.#confirmedAtMs;
  }
}
