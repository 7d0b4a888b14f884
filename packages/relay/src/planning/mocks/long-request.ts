import { ENGINE_SERVICE } from '@poppypond/mocks';
import type { PlanRequest } from '../plan-request.js';

/** Returns the plan request of a long prompt of low priority. */
export function long(id: string, more: Partial<PlanRequest> = {}): PlanRequest {
  return {
    attemptId: `attempt-${id}`,
    requestId: id,
    content: `content-${id.padStart(8, '0')}`,
    host: 'asker',
    service: ENGINE_SERVICE,
    workspace: 'wheat',
    priority: 2,
    promptTokens: 200_000,
    answerTokens: 1000,
    aimMs: 6000,
    gapAimMs: 1000,
    arrivedAtMs: 0,
    callerSilentSinceMs: 0,
    deadlineAtMs: 15_000,
    isRepeated: false,
    avoidedIds: [],
    excludedIds: [],
    ...more,
  };
}
