import type { Clock, Milliseconds } from '@poppypond/core';

/** A longer step means that the process did not run, and could not read what had arrived. */
const MAX_STEP_MS: Milliseconds = 500;

/**
 * Time that does not go on while the process is paused or blocked, so that nobody is blamed for what
 * was not read meanwhile.
 */
export class RunningTime {
  #lastMs: Milliseconds;
  #nowMs: Milliseconds = 0;

  constructor(readonly clock: Clock) {
    this.#lastMs = clock.monotonicMs();
  }

  /** The time at the last call of `advance`. */
  get nowMs(): Milliseconds {
    return this.#nowMs;
  }

  /** Advances the time. To be called more often than every `MAX_STEP_MS`. */
  advance(): Milliseconds {
    const nowMs = this.clock.monotonicMs();
    this.#nowMs += Math.min(MAX_STEP_MS, nowMs - this.#lastMs);
    this.#lastMs = nowMs;
    return this.#nowMs;
  }
}
