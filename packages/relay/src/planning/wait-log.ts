import type { Clock } from '@poppypond/core';
import type { PlacementRule } from '@poppypond/fleet';
import type { Log } from '@poppypond/telemetry';
import type { PlanRequest } from './plan-request.js';

/**
 * Logs the waits of one request: one line when it starts to wait, and one at each change of reason.
 */
export class WaitLog {
  #rule: PlacementRule | undefined;

  constructor(
    readonly clock: Clock,
    readonly log: Log,
    readonly request: PlanRequest,
  ) {}

  /** Records that a planner makes the request wait, and by which rule. */
  onWait(rule: PlacementRule, planner: string): void {
    if (rule === this.#rule) return;
    this.#rule = rule;
    const { attemptId, requestId, service, promptTokens, aimMs, arrivedAtMs } = this.request;
    const nowMs = this.clock.monotonicMs();
    this.log.info('waiting', {
      request: requestId,
      attempt: attemptId,
      service,
      rule,
      planner,
      tokens: promptTokens,
      aim_ms: aimMs,
      waited_ms: Math.round(nowMs - arrivedAtMs),
      left_ms: Math.round(this.request.deadlineAtMs - nowMs),
    });
  }
}
