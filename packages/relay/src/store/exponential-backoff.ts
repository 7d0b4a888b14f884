import type { Milliseconds } from '@poppypond/core';

const FACTOR = 2;

/** Pauses after failures in a row, each twice the last, up to a longest. */
export class ExponentialBackoff {
  #nextMs: Milliseconds;

  constructor(
    readonly initialMs: Milliseconds,
    readonly maxMs: Milliseconds,
  ) {
    this.#nextMs = initialMs;
  }

  /** The pause after one more failure. */
  next(): Milliseconds {
    const pauseMs = this.#nextMs;
    this.#nextMs = Math.min(this.maxMs, pauseMs * FACTOR);
    return pauseMs;
  }

  /** Begins anew after a success. */
  reset(): void {
    this.#nextMs = this.initialMs;
  }
}
