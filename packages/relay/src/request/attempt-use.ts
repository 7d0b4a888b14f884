import type { AttemptUse } from '@poppypond/fleet';
import type { CallerHead } from '../ports.js';
import type { Choice } from './choice.js';

/** What an attempt is known by besides its choice of engines. */
export type PlacedAttempt = Pick<
  AttemptUse,
  'attemptId' | 'host' | 'gapAimMs' | 'placedAtMs' | 'expiresAtMs'
>;

/** What an attempt takes up: its whole context, less what other engines hold, on the writer. */
export function toAttemptUse(
  { placement, server }: Choice,
  { promptTokens, answerTokens }: CallerHead,
  placed: PlacedAttempt,
): AttemptUse {
  const shares = placement?.shares ?? [];
  const sharedTokens = shares.reduce((sum, { tokens }) => sum + tokens, 0);
  return {
    ...placed,
    writerId: server.id,
    readerIds: (placement?.readers ?? []).map((load) => load.server.id),
    partMs: placement?.partMs ?? 0,
    contextTokens: promptTokens + answerTokens - sharedTokens,
    held: shares.map(({ engine, tokens }) => ({ engineId: engine.server.id, tokens })),
    isReading: placement !== undefined,
  };
}
