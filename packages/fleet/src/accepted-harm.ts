import type { Milliseconds } from '@poppypond/core';
import { LATE_VALUE_LOSS } from './harm.js';
import type { StreamDemand } from './stream-plan.js';
import { streamValue } from './stream-worth.js';

/** What a prompt would get now. */
export interface StartForecast {
  /** When its first event would come, from now. */
  readonly expectedFirstMs: Milliseconds;
  /** Whether that is within its aim. */
  readonly isInTime: boolean;
}

/** Share of its worth that a caller is harmed by who waits to the end and is not served. */
const UNSERVED_VALUE_LOSS = 0.3;

/** Part of `wholeMs` that has passed, between 0 and 1; 1 where there is nothing to pass. */
function elapsedShare(passedMs: Milliseconds, wholeMs: Milliseconds): number {
  if (wholeMs <= 0) return 1;
  return Math.min(1, Math.max(0, passedMs / wholeMs));
}

/**
 * The harm to others, in worth, for which a prompt goes now rather than wait for a moment at which
 * it costs them less. It rises evenly with the time in which such a moment could still come: from
 * nothing up to all that a wait beyond that time would lose. That is first what being late loses,
 * until the aim can't be met; then what a late answer is worth, and what a wait for nothing costs
 * the caller, until it leaves.
 */
export function acceptableInterference(
  demand: StreamDemand,
  { expectedFirstMs, isInTime }: StartForecast,
): number {
  const { promptTokens, aimMs, waitedMs, callerTimeoutMs: patienceMs } = demand;
  const worth = streamValue(promptTokens);
  if (isInTime) return worth * LATE_VALUE_LOSS * elapsedShare(waitedMs, aimMs - expectedFirstMs);
  const lastStartMs = patienceMs - expectedFirstMs;
  // Where the last start comes before the aim, no wait for the aim comes before the rise.
  const fromMs = lastStartMs > aimMs ? aimMs : 0;
  const passed = elapsedShare(waitedMs - fromMs, lastStartMs - fromMs);
  return worth * (1 - LATE_VALUE_LOSS + UNSERVED_VALUE_LOSS * passed) * passed;
}
