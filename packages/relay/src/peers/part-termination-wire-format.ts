import type { Milliseconds } from '@poppypond/core';
import type { TerminatedRuns } from '@poppypond/fleet';
import type { ServedPart } from '../quarantine/part-quarantine.js';
import type { WireServedPart, WireTerminatedRuns } from './peer-messages.js';

function toAgeMs(atMs: Milliseconds, nowMs: Milliseconds): Milliseconds {
  return Math.max(0, Math.round(nowMs - atMs));
}

/** Converts runs that ended with their server to their wire form as of `nowMs`. */
export function toWireTerminatedRuns(
  { incarnation, server, host, atMs, isPrompt, parts }: TerminatedRuns,
  nowMs: Milliseconds,
): WireTerminatedRuns {
  const started = [...parts].map(([part, startedAtMs]): WireTerminatedRuns[5][number] => {
    return [part, toAgeMs(startedAtMs, nowMs)];
  });
  return [incarnation, server, host, toAgeMs(atMs, nowMs), isPrompt, started];
}

/** Returns the id of the only request of each part, empty for those with several. */
export function toWireRequests({ parts, requests }: TerminatedRuns): string[] {
  return [...parts.keys()].map((part) => requests?.get(part) ?? '');
}

/**
 * Converts runs from their wire form. The transit time makes their instants slightly late.
 * `requestIds`: the requests of the parts, as by `toWireRequests`.
 */
export function fromWireTerminatedRuns(
  [incarnation, server, host, agoMs, isPrompt, parts]: WireTerminatedRuns,
  nowMs: Milliseconds,
  requestIds: readonly string[] = [],
): TerminatedRuns {
  const requests = new Map(
    parts.flatMap(([part], index): [string, string][] => {
      const request = requestIds[index];
      return request ? [[part, request]] : [];
    }),
  );
  const startedAtMs = new Map(parts.map(([part, startedAgoMs]) => [part, nowMs - startedAgoMs]));
  return { incarnation, server, host, atMs: nowMs - agoMs, isPrompt, parts: startedAtMs, requests };
}

/** Converts a served part to its wire form as of `nowMs`. */
export function toWireServedPart({ part, atMs }: ServedPart, nowMs: Milliseconds): WireServedPart {
  return [part, toAgeMs(atMs, nowMs)];
}

/** Converts a served part from its wire form. */
export function fromWireServedPart([part, agoMs]: WireServedPart, nowMs: Milliseconds): ServedPart {
  return { part, atMs: nowMs - agoMs };
}
