import type { Milliseconds } from '@poppypond/core';

const FACTOR = 2;

/** Pauses after failures in a row, each twice the last, up to a longest. */
export class GrowingPause {
  #nextMs: Milliseconds;

  constructor(
    readonly firstMs: Milliseconds,
    readonly longestMs: Milliseconds,
  ) {
    this.#nextMs = firstMs;
  }

  /** The pause after one more failure. */
  next(): Milliseconds {
    const pauseMs = this.#nextMs;
    this.#nextMs = Math.min(this.longestMs, pauseMs * FACTOR);
    return pauseMs;
  }

  /** Begins anew after a success. */
  reset(): void {
    this.#nextMs = this.firstMs;
  }
}
