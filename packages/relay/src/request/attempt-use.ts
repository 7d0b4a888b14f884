import type { Milliseconds } from '@poppypond/core';
import type { AttemptUse } from '@poppypond/fleet';
import { DEADLINE_SLACK_MS, toAttemptUse } from '../planning/planned-use.js';
import type { Choice } from './choice.js';

/** What a call of a plain service takes up: a place on its server. */
function callUse(
  { attemptId, server }: Choice,
  host: string,
  placedAtMs: Milliseconds,
  limitAtMs: Milliseconds,
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
    expiresAtMs: limitAtMs + DEADLINE_SLACK_MS,
  };
}

/** What an attempt takes up that is placed on `host` at `placedAtMs`, until `limitAtMs` at the latest. */
export function useOf(
  choice: Choice,
  host: string,
  placedAtMs: Milliseconds,
  limitAtMs: Milliseconds,
): AttemptUse {
  const { plan } = choice;
  if (plan) return toAttemptUse(plan.request, plan.stream, placedAtMs);
  return callUse(choice, host, placedAtMs, limitAtMs);
}
