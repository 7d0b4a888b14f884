import type { AttemptOutcome } from '../backend/server-attempt.js';
import type { ResponseHead } from '../ports.js';

const MIN_SERVER_ERROR_STATUS = 500;
const MISDIRECTED = 421;

/**
 * Whether a response counts as a failure of its server. Undefined for responses that are no fault of
 * the server: of another server at its address, or while it asks for a backoff, which the host keeps.
 */
function isFailedResponse({ isNotExecuted, status, word }: ResponseHead): boolean | undefined {
  if (status === MISDIRECTED || word.backoffMs !== undefined) return undefined;
  return isNotExecuted || status >= MIN_SERVER_ERROR_STATUS;
}

/**
 * Whether an attempt ended by a failure of its server; undefined if it tells nothing about the
 * server. An attempt that was abandoned for silence is judged by new connections to the server.
 */
export function isServerFailure(end: AttemptOutcome): boolean | undefined {
  if (end.kind === 'whole') return isFailedResponse(end.head);
  if (end.kind === 'events_done') return false;
  if (end.kind === 'cancelled' || end.kind === 'not_taken') return undefined;
  if (end.kind === 'not_sent') return end.isServerAtFault ? true : undefined;
  return true;
}
