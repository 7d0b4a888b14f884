import type { Milliseconds } from '@poppypond/core';
import type { QuarantineEntry } from '@poppypond/fleet';
import type { WireQuarantine } from './peer-messages.js';

function wholeMs(durationMs: Milliseconds): Milliseconds {
  return Math.max(0, Math.round(durationMs));
}

/** An entry as it is told to peers. */
export function toWireQuarantine(entry: QuarantineEntry, nowMs: Milliseconds): WireQuarantine {
  const {
    content,
    round,
    ends,
    quarantinedUntilMs: heldUntilMs,
    changedAtMs,
    lastTerminations: lastEnds,
  } = entry;
  const heldForMs = wholeMs(heldUntilMs - nowMs);
  const lasts = lastEnds.map(({ server, host, atMs }): WireQuarantine[5][number] => {
    return [server, host, wholeMs(nowMs - atMs)];
  });
  return [content, round, ends, heldForMs, wholeMs(nowMs - changedAtMs), lasts];
}

/** An entry that a peer has told; the way of the message makes its instants a little late. */
export function fromWireQuarantine(
  [content, round, ends, heldForMs, changedAgoMs, lasts]: WireQuarantine,
  nowMs: Milliseconds,
): QuarantineEntry {
  return {
    content,
    round,
    ends,
    quarantinedUntilMs: nowMs + heldForMs,
    changedAtMs: nowMs - changedAgoMs,
    lastTerminations: lasts.map(([server, host, agoMs]) => ({ server, host, atMs: nowMs - agoMs })),
  };
}
