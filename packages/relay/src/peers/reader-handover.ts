import type { Clock, Milliseconds } from '@poppypond/core';

/**
 * A full host goes on reading the store for this long. The others learn of it from its next
 * heartbeats, and the next in rank read 2 s after that, so there is no moment without a reader.
 */
const HANDOVER_MS: Milliseconds = 4000;

/** Decides when a full host leaves reading the store to others. */
export class ReaderHandover {
  #fullSinceMs: Milliseconds | undefined;

  constructor(
    readonly clock: Clock,
    readonly isFull: () => boolean,
  ) {}

  /** Called after this process was suspended: the others could not learn that it is full. */
  onPause(): void {
    this.#fullSinceMs = undefined;
  }

  /** Whether this host has been full for so long that other hosts read instead. */
  get isOver(): boolean {
    const nowMs = this.clock.monotonicMs();
    this.#fullSinceMs = this.isFull() ? (this.#fullSinceMs ?? nowMs) : undefined;
    return this.#fullSinceMs !== undefined && nowMs - this.#fullSinceMs >= HANDOVER_MS;
  }
}
