import type { Milliseconds } from '@poppypond/core';

const FACTOR = 2;

/** Backoff for consecutive failures: doubles from `initialMs` up to `maxMs`. */
export class ExponentialBackoff {
  #nextMs: Milliseconds;

  constructor(
    readonly initialMs: Milliseconds,
    readonly maxMs: Milliseconds,
  ) {
    this.#nextMs = initialMs;
  }

  /** Returns the delay after another failure. */
  next(): Milliseconds {
    const pauseMs = this.#nextMs;
    this.#nextMs = Math.min(this.maxMs, pauseMs * FACTOR);
    return pauseMs;
  }

  /** Starts over after a success. */
  reset(): void {
    this.#nextMs = this.initialMs;
  }
}
