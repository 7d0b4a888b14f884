import type { Milliseconds } from '@poppypond/core';

/** The longest pause before a host looks whether it has to read for all. */
const LOOK_AGAIN_MS: Milliseconds = 250;
const SHORTEST_PAUSE_MS: Milliseconds = 20;

/**
 * The pause of a host that goes by the word of those that read the store. `leftMs`: time until its
 * own read is due, zero or less where it is due now.
 */
export function ownReadPauseMs(leftMs: Milliseconds): Milliseconds {
  return Math.min(LOOK_AGAIN_MS, Math.max(SHORTEST_PAUSE_MS, leftMs));
}
