import type { Milliseconds } from '@poppypond/core';
import type { AttemptUse, PriorityDemand } from '@poppypond/fleet';
import type { PlanAnswer, PlanRequest } from '../planning/plan-request.js';
import type { ServiceAdmissionState } from '../planning/service-admission.js';
import type { WireAttemptUse } from './peer-messages.js';
import type { WireAdmission, WirePlanAnswer, WirePlanRequest, WireRetry } from './plan-messages.js';

/** Converts an attempt to its wire form as of `nowMs`. */
export function toWireAttemptUse(use: AttemptUse, nowMs: Milliseconds): WireAttemptUse {
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

/** Converts an attempt of `host` from its wire form, with times on this process's clock. */
export function fromWireAttemptUse(
  wire: WireAttemptUse,
  host: string,
  nowMs: Milliseconds,
): AttemptUse {
  const [attemptId, writerId, readerIds, partMs, contextTokens, gapAimMs] = wire;
  const [, , , , , , isPrefilling, placedAgoMs, expiresInMs, held] = wire;
  return {
    attemptId,
    host,
    writerId,
    readerIds,
    partMs,
    contextTokens,
    gapAimMs,
    isPrefilling,
    placedAtMs: nowMs - placedAgoMs,
    expiresAtMs: nowMs + expiresInMs,
    held: held.map(([engineId, tokens]) => ({ engineId, tokens })),
  };
}

/** Converts a plan request to its wire form as of `nowMs`. */
export function toWirePlanRequest(
  request: PlanRequest,
  nowMs: Milliseconds,
): Omit<WirePlanRequest, 'limits' | 'evacuations'> {
  const { content, permit, waitsForPermitUntilMs } = request;
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
    ...(request.allowedRegions && { allowedRegions: [...request.allowedRegions] }),
    ...(waitsForPermitUntilMs === undefined
      ? {}
      : { waitsForLimitMs: Math.round(waitsForPermitUntilMs - nowMs) }),
    ...(content === undefined ? {} : { content }),
    ...(request.refusedLocally ? { refusedLocally: request.refusedLocally } : {}),
    ...(permit && { permit: { ...permit, serverIds: [...permit.serverIds] } }),
  };
}

/** Converts a plan request of `host` from its wire form, with times on this process's clock. */
export function fromWirePlanRequest(
  wire: WirePlanRequest,
  host: string,
  nowMs: Milliseconds,
): PlanRequest {
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

function toWireDemands(demands: readonly PriorityDemand[]): WireAdmission['demands'] {
  return demands.map(({ priority, engineMsPerSecond, requestsPerSecond, ageMs }) => {
    return [priority, Math.round(engineMsPerSecond), requestsPerSecond, Math.round(ageMs)];
  });
}

function fromWireDemands(demands: WireAdmission['demands']): readonly PriorityDemand[] {
  return demands.map(([priority, engineMsPerSecond, requestsPerSecond, ageMs]) => {
    return { priority, engineMsPerSecond, requestsPerSecond, ageMs };
  });
}

/** Converts the admission state of a service to its wire form. */
export function toWireAdmission(service: string, state: ServiceAdmissionState): WireAdmission {
  const { limitedDemands } = state;
  const retries = state.retries.map(({ priority, content, inMs }): WireRetry => {
    return [priority, content, Math.round(inMs)];
  });
  return {
    service,
    demands: toWireDemands(state.demands),
    ...(limitedDemands && {
      limitedDemands: limitedDemands.map(({ regions, demands }) => {
        return { regions: [...regions], demands: toWireDemands(demands) };
      }),
    }),
    grants: state.grants.map(({ workspace, engineMsPerSecond }) => {
      return [workspace, Math.round(engineMsPerSecond)];
    }),
    ...(retries.length > 0 && { retries }),
  };
}

/** Converts the admission state of a service from its wire form. */
export function fromWireAdmission({
  demands,
  limitedDemands = [],
  grants,
  retries = [],
}: WireAdmission): ServiceAdmissionState {
  return {
    demands: fromWireDemands(demands),
    limitedDemands: limitedDemands.map(({ regions, demands: limited }) => {
      return { regions, demands: fromWireDemands(limited) };
    }),
    grants: grants.map(([workspace, engineMsPerSecond]) => ({ workspace, engineMsPerSecond })),
    retries: retries.map(([priority, content, inMs]) => ({ priority, content, inMs })),
  };
}

/** Converts a planner's answer to its wire form. */
export function toWirePlanAnswer(answer: PlanAnswer): WirePlanAnswer {
  if (answer.kind === 'refuse') {
    const { overload, ...refusal } = answer;
    if (!overload) return refusal;
    return { ...refusal, overload: { ...overload, exceptContents: [...overload.exceptContents] } };
  }
  if (answer.kind === 'wait') return answer;
  const { stream } = answer;
  const shares = stream.shares.map((share) => ({ ...share }));
  const readerIds = [...stream.readerIds];
  const permittedIds = [...stream.permittedIds];
  return { kind: 'place', stream: { ...stream, readerIds, shares, permittedIds } };
}
