import type { Milliseconds } from '@poppypond/core';
import type { AttemptUse, WaitingRead } from '@poppypond/fleet';
import type { WireUse, WireWait } from './peer-messages.js';

/** An attempt for the wire, as of `nowMs`. */
export function toWireUse(use: AttemptUse, nowMs: Milliseconds): WireUse {
  return [
    use.attemptId,
    use.writerId,
    [...use.readerIds],
    Math.round(use.partMs),
    use.contextTokens,
    use.gapAimMs,
    use.isReading,
    Math.round(nowMs - use.placedAtMs),
    Math.round(use.expiresAtMs - nowMs),
    use.held.map(({ engineId, tokens }) => [engineId, tokens]),
  ];
}

/** An attempt of `host` from the wire, on this process's clock. */
export function fromWireUse(wire: WireUse, host: string, nowMs: Milliseconds): AttemptUse {
  const [attemptId, writerId, readerIds, partMs, contextTokens, gapAimMs] = wire;
  const [, , , , , , isReading, placedAgoMs, dropInMs, held] = wire;
  return {
    attemptId,
    host,
    writerId,
    readerIds,
    partMs,
    contextTokens,
    gapAimMs,
    isReading,
    placedAtMs: nowMs - placedAgoMs,
    expiresAtMs: nowMs + dropInMs,
    held: held.map(([engineId, tokens]) => ({ engineId, tokens })),
  };
}

/** A waiting prompt for the wire, as of `nowMs`. */
export function toWireWait(read: WaitingRead, nowMs: Milliseconds): WireWait {
  return [
    read.requestId,
    Math.round(read.readMs),
    Math.round(read.aimAtMs - nowMs),
    Math.round(read.overdueAtMs - nowMs),
    read.isYielding,
    Math.round(read.expiresAtMs - nowMs),
  ];
}

/** A waiting prompt of `host` from the wire, on this process's clock. */
export function fromWireWait(wire: WireWait, host: string, nowMs: Milliseconds): WaitingRead {
  const [requestId, readMs, lateInMs, overdueInMs, isYielding, dropInMs] = wire;
  const aimAtMs = nowMs + lateInMs;
  const overdueAtMs = nowMs + overdueInMs;
  const expiresAtMs = nowMs + dropInMs;
  return { requestId, host, readMs, aimAtMs, overdueAtMs, isYielding, expiresAtMs };
}
