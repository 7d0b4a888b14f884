import type { Milliseconds } from '@poppypond/core';
import { LATE_VALUE_LOSS } from './interference.js';
import type { StreamDemand } from './stream-plan.js';
import { streamValue } from './stream-value.js';

/** What to expect for a prompt that starts now. */
export interface StartForecast {
  /** Time from now until the first event. */
  readonly expectedFirstMs: Milliseconds;
  /** Whether the first event is within its latency target. */
  readonly isInTime: boolean;
}

/**
 * Share of the value that is lost in addition if a caller waits until its timeout and is not
 * served.
 */
const UNSERVED_VALUE_LOSS = 0.3;

/** Returns `elapsedMs` as a share of `totalMs`, clamped to 0..1; 1 if `totalMs` is not positive. */
function elapsedShare(elapsedMs: Milliseconds, totalMs: Milliseconds): number {
  if (totalMs <= 0) return 1;
  return Math.min(1, Math.max(0, elapsedMs / totalMs));
}

/**
 * Returns the loss of value of other answers that is accepted for starting a prompt now instead of
 * waiting for a moment with less interference. It rises steadily over the time in which such a
 * moment can still come, from 0 to all that waiting any longer would lose. While the latency target
 * can still be met, that is the loss by being late. After that it is the value of a late answer
 * plus the cost to the caller of waiting in vain, until the caller disconnects.
 */
export function acceptableInterference(
  demand: StreamDemand,
  { expectedFirstMs, isInTime }: StartForecast,
): number {
  const { promptTokens, aimMs, waitedMs, callerTimeoutMs } = demand;
  const value = streamValue(promptTokens);
  if (isInTime) return value * LATE_VALUE_LOSS * elapsedShare(waitedMs, aimMs - expectedFirstMs);
  const lastStartMs = callerTimeoutMs - expectedFirstMs;
  // If the last useful start is before the target, the rise begins at arrival instead of at the
  // target.
  const fromMs = lastStartMs > aimMs ? aimMs : 0;
  const elapsed = elapsedShare(waitedMs - fromMs, lastStartMs - fromMs);
  return value * (1 - LATE_VALUE_LOSS + UNSERVED_VALUE_LOSS * elapsed) * elapsed;
}
