import type { Milliseconds } from '@poppypond/core';

/**
 * Callers leave a stream that was silent for this long, or for so many aims or pauses, whichever
 * is longest. From the users' pages.
 */
const MIN_IDLE_TIMEOUT_MS: Milliseconds = 2000;
const IDLE_TIMEOUT_TARGETS = 4;
const IDLE_TIMEOUT_GAPS = 8;

/** The silence after which the caller of a stream leaves it. */
export function callerIdleTimeoutMs(aimMs: Milliseconds, gapAimMs: Milliseconds): Milliseconds {
  return Math.max(MIN_IDLE_TIMEOUT_MS, aimMs * IDLE_TIMEOUT_TARGETS, gapAimMs * IDLE_TIMEOUT_GAPS);
}
