import type { Milliseconds } from '@poppypond/core';

/**
 * Callers leave a stream that was silent for this long, or for so many aims or pauses, whichever
 * is longest. From the users' pages.
 */
const SHORTEST_SILENCE_MS: Milliseconds = 2000;
const SILENCE_AIMS = 4;
const SILENCE_GAPS = 8;

/** The silence after which the caller of a stream leaves it. */
export function callerIdleTimeoutMs(aimMs: Milliseconds, gapAimMs: Milliseconds): Milliseconds {
  return Math.max(SHORTEST_SILENCE_MS, aimMs * SILENCE_AIMS, gapAimMs * SILENCE_GAPS);
}
