import type { Milliseconds } from '@poppypond/core';
import type { ServerLimit, PeerLimit } from '@poppypond/fleet';
import { fromWireServer, toWireServer } from './server-wire-format.js';
import type { WireLimit } from './plan-messages.js';

/** A limit as it is told to peers, as of `nowMs`. */
export function toWireLimit(limit: ServerLimit, nowMs: Milliseconds): WireLimit {
  const { server, perSecond, isLifted, reportedAtMs } = limit;
  return [toWireServer(server), perSecond, isLifted, Math.max(0, Math.round(nowMs - reportedAtMs))];
}

/** A limit that a peer has told; the way of the message makes its instant a little late. */
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
