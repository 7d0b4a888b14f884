import type { Milliseconds } from '@poppypond/core';
import type { AttemptUse } from '@poppypond/fleet';
import type { PlanAnswer, PlanRequest } from '../planning/plan-request.js';
import type { WireUse } from './peer-messages.js';
import type { WireAnswer, WireAsk } from './plan-messages.js';

/** An attempt for the wire, as of `nowMs`. */
export function toWireUse(use: AttemptUse, nowMs: Milliseconds): WireUse {
  return [
    use.attemptId,
    use.writerId,
    [...use.readerIds],
    Math.round(use.partMs),
    use.contextTokens,
    use.gapAimMs,
    use.isPrefilling,
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
    isPrefilling: isReading,
    placedAtMs: nowMs - placedAgoMs,
    expiresAtMs: nowMs + dropInMs,
    held: held.map(([engineId, tokens]) => ({ engineId, tokens })),
  };
}

/** A question to a planner for the wire, as of `nowMs`. */
export function toWireAsk(request: PlanRequest, nowMs: Milliseconds): Omit<WireAsk, 'limits'> {
  const { content, permit, waitsForPermitUntilMs: waitsUntilMs } = request;
  const { attemptId, requestId, service, workspace, priority } = request;
  const { promptTokens, answerTokens, aimMs, gapAimMs, isRepeated } = request;
  return {
    attempt: attemptId,
    request: requestId,
    service,
    workspace,
    priority,
    promptTokens,
    answerTokens,
    aimMs,
    gapAimMs,
    waitedMs: Math.round(nowMs - request.arrivedAtMs),
    silentMs: Math.round(nowMs - request.callerSilentSinceMs),
    leftMs: Math.round(request.deadlineAtMs - nowMs),
    isRepeated,
    avoidedIds: [...request.avoidedIds],
    excludedIds: [...request.excludedIds],
    ...(waitsUntilMs === undefined ? {} : { waitsForLimitMs: Math.round(waitsUntilMs - nowMs) }),
    ...(content === undefined ? {} : { content }),
    ...(permit && { permit: { ...permit, serverIds: [...permit.serverIds] } }),
  };
}

/** A question of `host` from the wire, on this process's clock. */
export function fromWireAsk(wire: WireAsk, host: string, nowMs: Milliseconds): PlanRequest {
  const { attempt, request, waitedMs, silentMs, leftMs, waitsForLimitMs, ...same } = wire;
  return {
    ...same,
    attemptId: attempt,
    requestId: request,
    host,
    arrivedAtMs: nowMs - waitedMs,
    callerSilentSinceMs: nowMs - silentMs,
    deadlineAtMs: nowMs + leftMs,
    waitsForPermitUntilMs: waitsForLimitMs === undefined ? undefined : nowMs + waitsForLimitMs,
  };
}

/** A planner's answer for the wire. */
export function toWireAnswer(answer: PlanAnswer): WireAnswer {
  if (answer.kind !== 'place') return answer;
  const { stream } = answer;
  const shares = stream.shares.map((share) => ({ ...share }));
  const readerIds = [...stream.readerIds];
  const permittedIds = [...stream.permittedIds];
  return { kind: 'place', stream: { ...stream, readerIds, shares, permittedIds } };
}
