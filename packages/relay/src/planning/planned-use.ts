import type { Milliseconds } from '@poppypond/core';
import type { AttemptUse, BackendServer } from '@poppypond/fleet';
import type { PlannedStream, PlanRequest } from './plan-request.js';

/** Time allowed after the deadline for the server's own timeout response to arrive. */
export const DEADLINE_SLACK_MS: Milliseconds = 20;

/**
 * The resources that a planned attempt uses: the writer holds its whole context, less what other
 * engines hold.
 */
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

/** A call that needs a permit but no plan. */
export function permittedCall(
  { id: writerId }: BackendServer,
  permittedIds: readonly string[],
): PlannedStream {
  const noPrefill = { readerIds: [], partMs: 0, shares: [], expectedFirstMs: 0 };
  return {
    rule: 'permitted',
    writerId,
    ...noPrefill,
    writersBefore: 0,
    readingBeforeMs: 0,
    permittedIds,
  };
}
