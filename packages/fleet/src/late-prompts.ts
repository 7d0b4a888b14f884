import type { Milliseconds } from '@poppypond/core';
import type { EngineLoad } from './engine-load.js';
import type { PlacementRule, StreamDemand } from './stream-plan.js';

/** Decision about a long prompt whose first event would be late if it started now. */
export type LateDecision =
  { readonly kind: 'begin' } | { readonly kind: 'wait' | 'refuse'; readonly rule: PlacementRule };

/** Policy for long prompts whose first event would be late. */
export interface LatePromptPolicy {
  /** `prefillMs`: time to prefill the entire prompt on one engine. */
  decide(
    engines: readonly EngineLoad[],
    demand: StreamDemand,
    prefillMs: Milliseconds,
  ): LateDecision;
}

/** Starts late prompts under the same conditions as others: with no or acceptable interference. */
export class StartLatePrompts implements LatePromptPolicy {
  decide(): LateDecision {
    return { kind: 'begin' };
  }
}

/**
 * Share of the engines that must have no pending prefill before a late prompt starts. Values of 0.8
 * and 0.9 earn more under overload, but less at the usual load, and fewer of the largest tenth of
 * the prompts are served.
 */
const MIN_IDLE_SHARE = 0.65;
/**
 * A late prompt waits for idle engines up to this multiple of its latency target; then it is
 * refused, with time left to retry.
 */
const MAX_WAIT_TARGETS = 1;

/**
 * Starts late prompts that one engine could not prefill within their latency target only if the
 * fleet has idle engines. A late answer has a quarter of its value. The largest prompts are late
 * most often and take about 70 s of engine time each: that of ten prompts of usual length, which
 * would become late too.
 *
 * Share of the maximum value that is earned if all late prompts start, and with this policy, in
 * simulations with alternating phases of short and long prompts (mean of eight seeds each): with 60
 * engines 0.986 and 0.986 at the usual load, 0.850 and 0.903 at 1.6 times that; with 18 engines
 * 0.959 and 0.962 at the usual load, 0.914 and 0.914 at 1.25 times, 0.598 and 0.658 at 1.6 times.
 *
 * A prompt that an engine has already partly run is started anyway, as the work spent on it would
 * be lost.
 */
export class LatePromptsWhenIdle implements LatePromptPolicy {
  decide(
    engines: readonly EngineLoad[],
    demand: StreamDemand,
    prefillMs: Milliseconds,
  ): LateDecision {
    const isLarge = prefillMs > demand.aimMs;
    const idle = engines.filter(({ pendingPrefillMs }) => pendingPrefillMs === 0).length;
    const isFleetIdle = idle >= engines.length * MIN_IDLE_SHARE;
    if (!isLarge || demand.isRepeated || isFleetIdle) return { kind: 'begin' };
    const canWait = demand.waitedMs <= demand.aimMs * MAX_WAIT_TARGETS;
    if (canWait) return { kind: 'wait', rule: 'waits_for_idle_engines' };
    return { kind: 'refuse', rule: 'engines_needed_by_timely' };
  }
}
