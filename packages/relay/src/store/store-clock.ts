import type { Clock, Milliseconds } from '@poppypond/core';

/**
 * Maps the store's clock to this process's clock. A response is produced between the request and
 * its arrival. Since it contains the store's time, a short call bounds the offset between the two
 * clocks, so that the response of a long poll can be dated later than its request.
 */
export class StoreClock {
  #minOffsetMs: Milliseconds | undefined;

  constructor(readonly clock: Clock) {}

  /**
   * Returns the latest known lower bound on the time, on this process's clock, at which the
   * response was produced.
   */
  dateResponse(askedAtMs: Milliseconds, storeNowMs: Milliseconds): Milliseconds {
    const offsetMs = askedAtMs - storeNowMs;
    const known = this.#minOffsetMs;
    this.#minOffsetMs = known === undefined ? offsetMs : Math.max(known, offsetMs);
    const datedAtMs = storeNowMs + this.#minOffsetMs;
    if (datedAtMs <= this.clock.monotonicMs()) return datedAtMs;
    this.#minOffsetMs = offsetMs;
    return askedAtMs;
  }

  /** Forgets the bound, since the store may have been restarted. */
  reset(): void {
    this.#minOffsetMs = undefined;
  }
}
