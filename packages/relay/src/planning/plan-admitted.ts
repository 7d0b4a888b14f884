import type { Milliseconds } from '@poppypond/core';
import { StartLatePrompts } from '@poppypond/fleet';
import type { BackendServer, LatePromptPolicy } from '@poppypond/fleet';
import type { Admissions } from './admissions.js';
import type { LimitedService } from './limited-servers.js';
import type { PlanOptions } from './plan-engines.js';
import type { PlanAnswer, PlanRequest } from './plan-request.js';
import type { EngineRegions } from './admission-windows.js';
import type { ServiceAdmission } from './service-admission.js';

/** A request of a service with admission control, and what may be used for it. */
export interface AdmissionInputs {
  readonly admission: ServiceAdmission;
  readonly request: PlanRequest;
  readonly limited: LimitedService;
  /** Engines that the request may be sent to, regardless of their rate limits. */
  readonly allowed: readonly BackendServer[];
  /** Those that may be sent another request now. */
  readonly available: readonly BackendServer[];
  /** Requests that wait for the service. */
  readonly waiting: readonly PlanRequest[];
  /** Where the engines of a service are. */
  readonly regionsOf: (service: string) => EngineRegions;
  /** Decides about late prompts while there is room for all. */
  readonly latePromptPolicy: LatePromptPolicy | undefined;
}

/** Plans a request over some engines, and records what it places. */
export type PlanOver = (engines: readonly BackendServer[], options: PlanOptions) => PlanAnswer;

/** Admission control decides which prompts start, also of those that would be late. */
const LATE_PROMPTS_ADMITTED = new StartLatePrompts();

/** Decides about a request, and plans it over the engines that it may use if it is admitted now. */
export function planAdmitted(
  admissions: Admissions,
  inputs: AdmissionInputs,
  planOver: PlanOver,
): PlanAnswer {
  const { admission, request, limited, available, waiting } = inputs;
  const { nowMs } = limited;
  const countEngines = (servers: readonly BackendServer[]) =>
    admissions.countEngines(admission, servers, limited);
  const engines = countEngines(inputs.allowed);
  const isRegional = request.allowedRegions !== undefined || admission.isRegional(nowMs);
  const regions = isRegional ? { ...inputs.regionsOf(request.service), countEngines } : undefined;
  const moment = { nowMs, available, engines, waiting, regions };
  const decision = admission.decide(request, moment);
  if (decision.kind === 'refuse') {
    admissions.onRefused(request, engines, nowMs);
    return admission.refuse(request, decision, moment);
  }
  admissions.onDecided(request, engines);
  if (decision.kind === 'wait') return { kind: 'wait', rule: 'waits_for_turn' };
  const { preferred, all } = admission.enginesFor(request, moment);
  const isControlled = preferred !== undefined || admission.isPromised(request, nowMs);
  const answer = planOver(all, {
    preferred,
    latePromptPolicy: isControlled ? LATE_PROMPTS_ADMITTED : inputs.latePromptPolicy,
    boundsQueues: preferred !== undefined,
  });
  if (answer.kind === 'place') admission.onPlaced(request, nowMs);
  if (answer.kind === 'refuse' && answer.rule === 'caller_leaves_first')
    admission.onWaitedInVain(request, nowMs);
  // A request whose turn has come waits for memory; its time to wait is bounded by the decision.
  const lacksMemory = answer.kind === 'refuse' && answer.rule === 'no_engine' && all.length > 0;
  return lacksMemory && isControlled ? { kind: 'wait', rule: 'waits_for_memory' } : answer;
}

/** Answers a request that no server may be sent now because of rate limits. */
export type AnswerLimited = (request: PlanRequest) => PlanAnswer;

/**
 * Answers a request that rate limits delay, and lets admission control know of it. A caller that was
 * refused before waits until its deadline instead of being refused again.
 */
export function answerLimited(
  admission: ServiceAdmission | undefined,
  request: PlanRequest,
  nowMs: Milliseconds,
  answerOf: AnswerLimited,
): PlanAnswer {
  if (!admission) return answerOf(request);
  const waitsForPermitUntilMs = request.deadlineAtMs;
  const isPromised = admission.isPromised(request, nowMs);
  const answer = answerOf(isPromised ? { ...request, waitsForPermitUntilMs } : request);
  admission.onLimited(request, answer, nowMs);
  return answer;
}
