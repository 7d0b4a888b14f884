import type { Milliseconds } from '@poppypond/core';
import type { AttemptUse } from '@poppypond/fleet';
import type { PlannedStream, PlanRequest } from './plan-request.js';

/** A server's own word that time is up may take this long to come back. */
export const DEADLINE_SLACK_MS: Milliseconds = 20;

/** What a planned attempt takes up: its whole context, less what other engines hold, on the writer. */
export function toAttemptUse(
  { attemptId, host, promptTokens, answerTokens, gapAimMs, deadlineAtMs }: PlanRequest,
  { writerId, readerIds, partMs, shares }: PlannedStream,
  placedAtMs: Milliseconds,
): AttemptUse {
  const sharedTokens = shares.reduce((sum, { tokens }) => sum + tokens, 0);
  return {
    attemptId,
    host,
    writerId,
    readerIds,
    partMs,
    contextTokens: promptTokens + answerTokens - sharedTokens,
    held: shares,
    gapAimMs,
    isPrefilling: true,
    placedAtMs,
    expiresAtMs: deadlineAtMs + DEADLINE_SLACK_MS,
  };
}
