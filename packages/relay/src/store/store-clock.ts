import type { Clock, Milliseconds } from '@poppypond/core';

/**
 * Dates answers of the store on this process's clock. An answer was given between the question
 * and its arrival; with the store's own clock in it, a short call bounds how far the two clocks
 * are apart, so that the answer of a long wait can be dated later than its question.
 */
export class StoreClock {
  #minOffsetMs: Milliseconds | undefined;

  constructor(readonly clock: Clock) {}

  /** The latest instant that the answer is surely not older than. */
  dateAnswer(askedAtMs: Milliseconds, storeNowMs: Milliseconds): Milliseconds {
    const offsetMs = askedAtMs - storeNowMs;
    const known = this.#minOffsetMs;
    this.#minOffsetMs = known === undefined ? offsetMs : Math.max(known, offsetMs);
    const datedAtMs = storeNowMs + this.#minOffsetMs;
    if (datedAtMs <= this.clock.monotonicMs()) return datedAtMs;
    this.#minOffsetMs = offsetMs;
    return askedAtMs;
  }

  /** Forgets the bound, as the store may have been started anew. */
  reset(): void {
    this.#minOffsetMs = undefined;
  }
}
