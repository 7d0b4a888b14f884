import type { CancelTimer, Milliseconds } from '@poppypond/core';
import type { StreamSpeed } from '@poppypond/fleet';
import type { PlanRefusal, PlanRequest } from '@poppypond/relay/planning';
import type { EngineFigures } from '@poppypond/routing';
import type { RequestKind } from './deployment.js';
import { DEFAULT_PRIORITY, SERVICE } from './kind-route.js';
import type { OutcomeKind } from './outcome.js';
import type { Arrival } from './traffic.js';

/** Delay of a retry whose refusal gives no time. */
const DEFAULT_RETRY_MS: Milliseconds = 250;

/** State of a request that has not ended. */
export interface OpenRequest {
  readonly arrival: Arrival;
  /**
   * Incarnation of the hosts that serve the request, or -1 after a kill; events of other
   * incarnations are ignored.
   */
  incarnation: number;
  firstEventMs: Milliseconds | undefined;
  lastEventAtMs: Milliseconds;
  hasLateGap: boolean;
  /** Observes the engines of the attempt; undefined before it starts. */
  observed: StreamSpeed | undefined;
  engineIds: readonly string[];
  /** Engines that rejected the request. */
  readonly rejectedBy: Set<string>;
  /** Number of attempts that reached no engine. */
  undelivered: number;
  /** Number of events that its caller has received. */
  events: number;
  refusals: number;
  /** When its caller sent it last. */
  sentAtMs: Milliseconds;
  cancelIdleTimeout: CancelTimer;
}

/** Returns the plan request of a host for the next attempt of a request. */
export function toPlanRequest(
  { arrival, rejectedBy, sentAtMs }: OpenRequest,
  { stepsPerPass }: EngineFigures,
  engines: Pick<PlanRequest, 'avoidedIds' | 'excludedIds'>,
): PlanRequest {
  const { requestId, kind, atMs, promptTokens, events, workspace } = arrival;
  return {
    attemptId: requestId,
    requestId,
    host: 'host',
    service: SERVICE,
    workspace,
    priority: kind.priority ?? DEFAULT_PRIORITY,
    promptTokens,
    answerTokens: events * stepsPerPass,
    aimMs: kind.aimMs,
    gapAimMs: kind.gapAimMs,
    arrivedAtMs: sentAtMs,
    callerSilentSinceMs: sentAtMs,
    content: requestId,
    deadlineAtMs: atMs + kind.timeoutMs,
    isRepeated: rejectedBy.size > 0,
    ...engines,
  };
}

/** Whether a complete answer was in time, or why it was late. */
export function servedOutcome({ arrival, firstEventMs, hasLateGap }: OpenRequest): OutcomeKind {
  if (firstEventMs === undefined || firstEventMs > arrival.kind.aimMs) return 'late_start';
  return hasLateGap ? 'late_pause' : 'in_time';
}

/** Returns the time after which the caller of a refused request retries. */
export function retryDelayMs({ rule, retryAfterMs }: PlanRefusal, kind: RequestKind): Milliseconds {
  if (retryAfterMs !== undefined) return retryAfterMs;
  return rule === 'engines_needed_by_timely' ? kind.aimMs / 2 : DEFAULT_RETRY_MS;
}
