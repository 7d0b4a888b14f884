import type { Milliseconds } from '@poppypond/core';
import type { OverloadLevel, PlanRefusal, PlanRequest } from './plan-request.js';
import { isHonored } from './admission-retries.js';
import { contentEnd } from './service-admission.js';

interface KnownLevel {
  readonly refusal: PlanRefusal;
  readonly level: OverloadLevel;
  readonly untilMs: Milliseconds;
  refused: number;
}

/** A planner's level is applied for at most this long, whatever the message says. */
const MAX_LEVEL_MS: Milliseconds = 250;
const MAX_LEVELS = 64;

function keyOf({ service, priority }: PlanRequest): string {
  return `${String(priority)} ${service}`;
}

/**
 * Refuses on this host what the planner has just refused for the same service and priority, so that
 * a flood of requests does not load the planner.
 */
export class LocalRefusals {
  readonly #levels = new Map<string, KnownLevel>();

  /** Applies a planner's refusal of `request`. */
  onRefusal(request: PlanRequest, refusal: PlanRefusal, nowMs: Milliseconds): void {
    const { overload: level } = refusal;
    if (!level) return;
    const untilMs = nowMs + Math.min(MAX_LEVEL_MS, level.forMs);
    const refused = this.#levels.get(keyOf(request))?.refused ?? 0;
    if (this.#levels.size >= MAX_LEVELS) this.#levels.clear();
    this.#levels.set(keyOf(request), { refusal, level, untilMs, refused });
  }

  /**
   * Returns the refusal of a request that the planner would refuse now without a scheduled retry;
   * undefined if it has to be asked.
   */
  find(request: PlanRequest, nowMs: Milliseconds): PlanRefusal | undefined {
    const known = this.#levels.get(keyOf(request));
    if (!known || nowMs >= known.untilMs || request.permit) return undefined;
    if (request.isRepeated || request.isPlannedAgain) return undefined;
    const { level, refusal } = known;
    if (isHonored(level.retryAfterMs, request.deadlineAtMs - nowMs)) return undefined;
    const { content } = request;
    const mayBeScheduled =
      content === undefined || level.exceptContents.includes(contentEnd(content));
    if (mayBeScheduled) return undefined;
    known.refused += 1;
    return { ...refusal, retryAfterMs: level.retryAfterMs, overload: undefined };
  }

  /**
   * Returns the number of requests like this one that were refused since the last call, for the
   * planner's estimate of the demand; undefined if there are none.
   */
  takeCount(request: PlanRequest): number | undefined {
    const known = this.#levels.get(keyOf(request));
    if (!known || known.refused === 0) return undefined;
    const { refused } = known;
    known.refused = 0;
    return refused;
  }
}
