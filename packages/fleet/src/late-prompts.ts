import type { Milliseconds } from '@poppypond/core';
import type { EngineLoad } from './engine-load.js';
import type { PlacementRule, StreamDemand } from './stream-plan.js';

/** What becomes of a long prompt whose first event would be late if it began now. */
export type LateDecision =
  { readonly kind: 'begin' } | { readonly kind: 'wait' | 'refuse'; readonly rule: PlacementRule };

/** Decides about long prompts that would be late. */
export interface LatePromptPolicy {
  /** `readMs`: time to read the whole prompt on one engine. */
  decide(engines: readonly EngineLoad[], demand: StreamDemand, readMs: Milliseconds): LateDecision;
}

/** Late prompts begin as timely ones do: where they harm no writers, or little. */
export class StartLatePrompts implements LatePromptPolicy {
  decide(): LateDecision {
    return { kind: 'begin' };
  }
}

/**
 * Share of the engines that must read nothing before a late prompt begins. At 0.8 and 0.9 more is
 * earned under overload, but less at the usual load, and fewer of the largest tenth are served.
 */
const MIN_IDLE_SHARE = 0.65;
/** Aims for which a late prompt waits for that; then its caller is told, with time left to return. */
const MAX_WAIT_TARGETS = 1;

/**
 * Late prompts that one engine could not read within their aim begin only on a fleet that has engine
 * time to spare. A late answer is worth a quarter, and the largest prompts, late ones most often, take
 * some 70 s of engine time each: that of ten prompts of usual length, which are late then too. Emulated
 * days on which short and long prompts come by turns, share of worth earned, all begun and by this
 * rule (mean of eight seeds each): 60 engines at the usual load 0.986 and 0.986, at 1.6 times that
 * 0.850 and 0.903; 18 engines 0.959 and 0.962, at 1.25 times 0.914 and 0.914, at 1.6 times 0.598 and
 * 0.658. A prompt of which an engine has run a part goes on: what was spent on it would be lost.
 */
export class LatePromptsWhenIdle implements LatePromptPolicy {
  decide(engines: readonly EngineLoad[], demand: StreamDemand, readMs: Milliseconds): LateDecision {
    const isLarge = readMs > demand.aimMs;
    const idle = engines.filter(
      ({ pendingPrefillMs: pendingReadMs }) => pendingReadMs === 0,
    ).length;
    const isFleetIdle = idle >= engines.length * MIN_IDLE_SHARE;
    if (!isLarge || demand.isRepeated || isFleetIdle) return { kind: 'begin' };
    const isPatient = demand.waitedMs <= demand.aimMs * MAX_WAIT_TARGETS;
    if (isPatient) return { kind: 'wait', rule: 'waits_for_idle_engines' };
    return { kind: 'refuse', rule: 'engines_needed_by_timely' };
  }
}
