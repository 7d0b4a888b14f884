import type { Milliseconds } from '@poppypond/core';
import { callerIdleTimeoutMs } from '@poppypond/fleet';
import type { Route } from '@poppypond/routing';
import type { PlannedStream } from '../planning/plan-request.js';

/** Silence beyond the expected first event after which an engine is asked whether it lives. */
const FIRST_EVENT_SLACK_MS: Milliseconds = 300;
/** Long reads wait behind others that were not foreseen. */
const FIRST_EVENT_FACTOR = 1.5;
/** Silence between events after which an engine is asked whether it lives. */
const SHORTEST_STALL_MS: Milliseconds = 600;
/** The same, as a multiple of the pause that the route aims at. */
const STALL_GAPS = 2;
/** Part of the silence after which its caller leaves, after which another engine is tried though this one lives. */
const BUSY_PATIENCE_SHARE = 0.65;
/** Added to that for each millisecond in which the first event was expected. */
const BUSY_FACTOR = 2;
/** Share of the time limit after which a plain call that may be repeated is tried elsewhere. */
const CALL_PATIENCE_SHARE = 0.45;

/** Silence after which a server that has sent nothing yet is looked after. */
export function firstPatienceMs(
  stream: PlannedStream | undefined,
  timeLeftMs: Milliseconds,
): Milliseconds {
  if (!stream) return timeLeftMs * CALL_PATIENCE_SHARE;
  return stream.expectedFirstMs * FIRST_EVENT_FACTOR + FIRST_EVENT_SLACK_MS;
}

/** Silence after which an engine that has sent events is looked after. */
export function stallPatienceMs(gapAimMs: Milliseconds): Milliseconds {
  return Math.max(SHORTEST_STALL_MS, gapAimMs * STALL_GAPS);
}

/**
 * Silence after which an engine is given up even if it lives. Where another engine could still send
 * a first event before the caller leaves, it is no longer than leaves time for that.
 */
export function busyPatienceMs({ aimMs, gapAimMs }: Route, stream: PlannedStream): Milliseconds {
  const { expectedFirstMs } = stream;
  const silenceMs = callerIdleTimeoutMs(aimMs, gapAimMs);
  const patienceMs = silenceMs * BUSY_PATIENCE_SHARE + expectedFirstMs * BUSY_FACTOR;
  const lastUsefulMs = silenceMs - expectedFirstMs;
  const isInTimeForAnother = lastUsefulMs >= firstPatienceMs(stream, silenceMs);
  return isInTimeForAnother ? Math.min(patienceMs, lastUsefulMs) : patienceMs;
}
