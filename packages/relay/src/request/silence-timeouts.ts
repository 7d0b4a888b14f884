import type { Milliseconds } from '@poppypond/core';
import { callerIdleTimeoutMs } from '@poppypond/fleet';
import type { Route } from '@poppypond/routing';
import type { PlannedStream } from '../planning/plan-request.js';

/**
 * Added to the expected time of the first event: silence after which an engine is sent a status
 * query.
 */
const FIRST_EVENT_SLACK_MS: Milliseconds = 300;
/** Factor on the expected time: long prefills queue behind others that the plan did not expect. */
const FIRST_EVENT_FACTOR = 1.5;
/** Shortest silence between events after which an engine is sent a status query. */
const MIN_STALL_TIMEOUT_MS: Milliseconds = 600;
/** The same silence as a multiple of the route's gap target. */
const STALL_GAP_FACTOR = 2;
/**
 * Share of the caller's idle timeout after which another engine is tried although this one responds
 * to status queries.
 */
const BUSY_TIMEOUT_SHARE = 0.65;
/** Added to that time for each millisecond of the expected time of the first event. */
const BUSY_EXPECTED_FACTOR = 2;
/**
 * Share of the time limit after which a plain call that may be repeated is tried on another server.
 */
const CALL_TIMEOUT_SHARE = 0.45;

/** Returns the silence after which a server that has sent no event yet is checked. */
export function firstEventTimeoutMs(
  stream: PlannedStream | undefined,
  timeLeftMs: Milliseconds,
): Milliseconds {
  if (!stream) return timeLeftMs * CALL_TIMEOUT_SHARE;
  return stream.expectedFirstMs * FIRST_EVENT_FACTOR + FIRST_EVENT_SLACK_MS;
}

/** Returns the silence after which an engine that has sent events is checked. */
export function stallTimeoutMs(gapAimMs: Milliseconds): Milliseconds {
  return Math.max(MIN_STALL_TIMEOUT_MS, gapAimMs * STALL_GAP_FACTOR);
}

/**
 * Returns the silence after which an engine is abandoned even if it responds to status queries. If
 * another engine could still send a first event before the caller disconnects, it is short enough
 * to leave time for that.
 */
export function busyTimeoutMs({ aimMs, gapAimMs }: Route, stream: PlannedStream): Milliseconds {
  const { expectedFirstMs } = stream;
  const callerTimeoutMs = callerIdleTimeoutMs(aimMs, gapAimMs);
  const timeoutMs = callerTimeoutMs * BUSY_TIMEOUT_SHARE + expectedFirstMs * BUSY_EXPECTED_FACTOR;
  const latestSwitchMs = callerTimeoutMs - expectedFirstMs;
  const canSwitchInTime = latestSwitchMs >= firstEventTimeoutMs(stream, callerTimeoutMs);
  return canSwitchInTime ? Math.min(timeoutMs, latestSwitchMs) : timeoutMs;
}
