import type { Clock, Milliseconds } from '@poppypond/core';

/**
 * How recently something known of the store was proved to be the newest. Only instants of the
 * monotonic clock count, and each proof is dated from before the question was asked, so a
 * pause of the process or a slow answer makes it look older, never fresher.
 */
export class Freshness {
  #provedAtMs: Milliseconds | undefined;

  constructor(readonly clock: Clock) {}

  /** Notes that what is known was the newest at `instantMs` or later. */
  confirm(instantMs: Milliseconds): void {
    if (this.#provedAtMs === undefined || instantMs > this.#provedAtMs)
      this.#provedAtMs = instantMs;
  }

  /** Time since the last proof; infinite before the first. */
  ageMs(): Milliseconds {
    if (this.#provedAtMs === undefined) return Number.POSITIVE_INFINITY;
    return this.clock.monotonicMs() - this.#provedAtMs;
  }
}
