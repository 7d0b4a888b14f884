import type { AttemptUse } from '@poppypond/fleet';
import type { Milliseconds } from '@poppypond/core';
import { LIMIT_SLACK_MS } from '../planning/planned-use.js';
import type { Choice } from './choice.js';

/** What a call of a plain service takes up: a place on its server. */
export function callUse(
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
    isReading: false,
    placedAtMs,
    expiresAtMs: limitAtMs + LIMIT_SLACK_MS,
  };
}
