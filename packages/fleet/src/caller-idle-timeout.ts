import type { Milliseconds } from '@poppypond/core';

/**
 * A caller closes a stream that has been idle for the longest of three durations: this minimum,
 * this multiple of the route's first-event target, and this multiple of its gap target. The values
 * are part of the users' specification.
 */
const MIN_IDLE_TIMEOUT_MS: Milliseconds = 2000;
const IDLE_TIMEOUT_TARGETS = 4;
const IDLE_TIMEOUT_GAPS = 8;

/** Returns the idle time after which the caller of a stream disconnects. */
export function callerIdleTimeoutMs(aimMs: Milliseconds, gapAimMs: Milliseconds): Milliseconds {
  return Math.max(MIN_IDLE_TIMEOUT_MS, aimMs * IDLE_TIMEOUT_TARGETS, gapAimMs * IDLE_TIMEOUT_GAPS);
}
