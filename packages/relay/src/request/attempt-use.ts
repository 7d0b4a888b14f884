import type { Milliseconds } from '@poppypond/core';
import type { AttemptUse } from '@poppypond/fleet';
import { DEADLINE_SLACK_MS, toAttemptUse } from '../planning/planned-use.js';
import type { Choice } from './choice.js';

/** The resources of a call to a plain service: one slot on its server. */
function callUse(
  { attemptId, server }: Choice,
  host: string,
  placedAtMs: Milliseconds,
  deadlineAtMs: Milliseconds,
): AttemptUse {
  return {
    attemptId,
    host,
    writerId: server.id,
    readerIds: [],
    partMs: 0,
    contextTokens: 0,
    held: [],
    gapAimMs: 0,
    isPrefilling: false,
    placedAtMs,
    expiresAtMs: deadlineAtMs + DEADLINE_SLACK_MS,
  };
}

/**
 * Returns the resources that an attempt uses, placed by `host` at `placedAtMs` and freed at
 * `deadlineAtMs` at the latest.
 */
export function useOf(
  choice: Choice,
  host: string,
  placedAtMs: Milliseconds,
  deadlineAtMs: Milliseconds,
): AttemptUse {
  const { plan } = choice;
  if (plan) return toAttemptUse(plan.request, plan.stream, placedAtMs);
  return callUse(choice, host, placedAtMs, deadlineAtMs);
}
