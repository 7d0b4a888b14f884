import type { Milliseconds } from '@poppypond/core';
import type { QuarantineEntry } from '@poppypond/fleet';
import type { WireQuarantineEntry } from './peer-messages.js';

function toWholeMs(durationMs: Milliseconds): Milliseconds {
  return Math.max(0, Math.round(durationMs));
}

/** Converts an entry to its wire form as of `nowMs`. */
export function toWireQuarantine(entry: QuarantineEntry, nowMs: Milliseconds): WireQuarantineEntry {
  const { content, round, ends, quarantinedUntilMs, changedAtMs, lastTerminations } = entry;
  const remainingMs = toWholeMs(quarantinedUntilMs - nowMs);
  const terminations = lastTerminations.map(
    ({ server, host, atMs }): WireQuarantineEntry[5][number] => {
      return [server, host, toWholeMs(nowMs - atMs)];
    },
  );
  return [content, round, ends, remainingMs, toWholeMs(nowMs - changedAtMs), terminations];
}

/**
 * Converts an entry from its wire form. The transit time of the message makes its instants slightly
 * late.
 */
export function fromWireQuarantine(
  [content, round, ends, remainingMs, changedAgoMs, terminations]: WireQuarantineEntry,
  nowMs: Milliseconds,
): QuarantineEntry {
  return {
    content,
    round,
    ends,
    quarantinedUntilMs: nowMs + remainingMs,
    changedAtMs: nowMs - changedAgoMs,
    lastTerminations: terminations.map(([server, host, agoMs]) => ({
      server,
      host,
      atMs: nowMs - agoMs,
    })),
  };
}
