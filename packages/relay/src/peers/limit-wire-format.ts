import type { Milliseconds } from '@poppypond/core';
import type { ServerLimit, PeerLimit } from '@poppypond/fleet';
import { fromWireServer, toWireServer } from './server-wire-format.js';
import type { WireLimit } from './plan-messages.js';

/** Converts a limit to its wire form as of `nowMs`. */
export function toWireLimit(limit: ServerLimit, nowMs: Milliseconds): WireLimit {
  const { server, perSecond, isLifted, reportedAtMs } = limit;
  return [toWireServer(server), perSecond, isLifted, Math.max(0, Math.round(nowMs - reportedAtMs))];
}

/**
 * Converts a limit from its wire form. The transit time of the message makes its instant slightly
 * late.
 */
export function fromWireLimit(
  [server, perSecond, isLifted, agoMs]: WireLimit,
  nowMs: Milliseconds,
): PeerLimit {
  return {
    server: fromWireServer(server),
    perSecond,
    isLifted,
    reportedAtMs: nowMs - agoMs,
  };
}
