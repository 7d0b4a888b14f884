import type { Milliseconds } from '@poppypond/core';
import { callerIdleTimeoutMs } from '@poppypond/fleet';
import type { Route } from '@poppypond/routing';
import type { PlannedStream } from '../planning/plan-request.js';

/** Silence beyond the expected first event after which an engine is asked whether it lives. */
const FIRST_EVENT_SLACK_MS: Milliseconds = 300;
/** Long reads wait behind others that were not foreseen. */
const FIRST_EVENT_FACTOR = 1.5;
/** Silence between events after which an engine is asked whether it lives. */
const MIN_STALL_TIMEOUT_MS: Milliseconds = 600;
/** The same, as a multiple of the pause that the route aims at. */
const STALL_GAP_FACTOR = 2;
/** Part of the silence after which its caller leaves, after which another engine is tried though this one lives. */
const BUSY_TIMEOUT_SHARE = 0.65;
/** Added to that for each millisecond in which the first event was expected. */
const BUSY_EXPECTED_FACTOR = 2;
/** Share of the time limit after which a plain call that may be repeated is tried elsewhere. */
const CALL_TIMEOUT_SHARE = 0.45;

/** Silence after which a server that has sent nothing yet is looked after. */
export function firstEventTimeoutMs(
  stream: PlannedStream | undefined,
  timeLeftMs: Milliseconds,
): Milliseconds {
  if (!stream) return timeLeftMs * CALL_TIMEOUT_SHARE;
  return stream.expectedFirstMs * FIRST_EVENT_FACTOR + FIRST_EVENT_SLACK_MS;
}

/** Silence after which an engine that has sent events is looked after. */
export function stallTimeoutMs(gapAimMs: Milliseconds): Milliseconds {
  return Math.max(MIN_STALL_TIMEOUT_MS, gapAimMs * STALL_GAP_FACTOR);
}

/**
 * Silence after which an engine is given up even if it lives. Where another engine could still send
 * a first event before the caller leaves, it is no longer than leaves time for that.
 */
export function busyTimeoutMs({ aimMs, gapAimMs }: Route, stream: PlannedStream): Milliseconds {
  const { expectedFirstMs } = stream;
  const callerTimeoutMs = callerIdleTimeoutMs(aimMs, gapAimMs);
  const timeoutMs = callerTimeoutMs * BUSY_TIMEOUT_SHARE + expectedFirstMs * BUSY_EXPECTED_FACTOR;
  const latestSwitchMs = callerTimeoutMs - expectedFirstMs;
  const canSwitchInTime = latestSwitchMs >= firstEventTimeoutMs(stream, callerTimeoutMs);
  return canSwitchInTime ? Math.min(timeoutMs, latestSwitchMs) : timeoutMs;
}
