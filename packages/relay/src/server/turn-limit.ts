import type { Milliseconds } from '@poppypond/core';

const MAX_TURN_MS: Milliseconds = 100;

/**
 * Limits the time for which one turn of the event loop reads from connections: it reads from all that
 * have sent something, and could go on for seconds.
 */
export class TurnLimit {
  #isCounting = false;
  #readMs: Milliseconds = 0;

  /** `onLimit` has to stop reading; `onNextTurn`, which follows it, to read on. */
  constructor(
    readonly onLimit: () => void,
    readonly onNextTurn: () => void,
  ) {}

  /** Counts the time that one read has taken. */
  count(readMs: Milliseconds): void {
    if (!this.#isCounting) this.#startTurn();
    const wasReached = this.#isReached;
    this.#readMs += readMs;
    if (this.#isReached && !wasReached) this.onLimit();
  }

  get #isReached(): boolean {
    return this.#readMs > MAX_TURN_MS;
  }

  #startTurn(): void {
    this.#isCounting = true;
    this.#readMs = 0;
    setImmediate(() => {
      this.#isCounting = false;
      if (this.#isReached) this.onNextTurn();
    });
  }
}
