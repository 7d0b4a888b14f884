import type { Milliseconds } from '@poppypond/core';
import { acceptableInterference } from './acceptable-interference.js';
import { chooseWriter } from './choose-writer.js';
import type { EngineLoad } from './engine-load.js';
import { estimateFirstEventMs } from './estimate-first-event.js';
import { interferenceCost } from './interference.js';
import type { LatePromptPolicy, LateDecision } from './late-prompts.js';
import { enginesForShortPrompts } from './pack-prompts.js';
import type { StreamPlan } from './stream-plan.js';
import { findBestSplit, MAX_PARTS } from './evaluate-split.js';
import type { SplitInputs, EvaluatedSplit } from './evaluate-split.js';

/**
 * Orders engines by the interference of a part with their writers, then by pending prefill, then by
 * most slack.
 */
function byInterference(partMs: Milliseconds): (left: EngineLoad, right: EngineLoad) => number {
  return (left, right) => {
    const interference = interferenceCost(left, partMs) - interferenceCost(right, partMs);
    if (interference !== 0) return interference;
    const prefill = left.pendingPrefillMs - right.pendingPrefillMs;
    return prefill === 0 ? right.slackMs - left.slackMs : prefill;
  };
}

/**
 * Returns the engines that may prefill a part. Engines process the newest part first, so a second
 * one would delay the first, and with it all other engines that prefill the same prompt.
 */
function withoutPendingPrefill(engines: readonly EngineLoad[]): readonly EngineLoad[] {
  return engines.filter((load) => load.pendingPrefillMs === 0);
}

/**
 * Whether a prompt that would be late now should wait for prefills that end soon: if that brings it
 * within its target, or if its caller would disconnect before the first event after a start now,
 * but not after the wait.
 */
function isWorthWaiting({ engines, demand, prefillMs }: SplitInputs, now: EvaluatedSplit): boolean {
  if (now.isInTime) return false;
  const { waitedMs, aimMs, callerTimeoutMs } = demand;
  const firstEventMs = waitedMs + estimateFirstEventMs(engines, prefillMs);
  if (firstEventMs <= aimMs) return true;
  return waitedMs + now.place.expectedFirstMs > callerTimeoutMs && firstEventMs <= callerTimeoutMs;
}

/** Whether the caller would disconnect before the first event even if all engines were idle. */
function isTooLate({ engines, demand, prefillMs }: SplitInputs): boolean {
  const earliestMs = prefillMs / Math.min(MAX_PARTS, engines.length);
  return demand.waitedMs + earliestMs > demand.callerTimeoutMs;
}

const START_NOW: LateDecision = { kind: 'begin' };

/**
 * Splits a long prompt over engines with the least total loss of value for their writers and the
 * prompt itself, or makes it wait for a better moment. `latePolicy` decides about a prompt that
 * would be late.
 */
export function planSplitPrefill(inputs: SplitInputs, latePolicy: LatePromptPolicy): StreamPlan {
  const { engines, writers, figures, demand, prefillMs } = inputs;
  if (isTooLate(inputs)) return { kind: 'refuse', rule: 'caller_leaves_first' };
  const packed = new Set(enginesForShortPrompts(engines, figures));
  const writer = chooseWriter(withoutPendingPrefill(writers), packed, figures);
  if (!writer) return { kind: 'wait', rule: 'waits_for_engine' };
  const others = withoutPendingPrefill(engines).filter((load) => load !== writer);
  const leastInterferenceFirst = byInterference(prefillMs / MAX_PARTS);
  const apart = others.filter((load) => !packed.has(load)).sort(leastInterferenceFirst);
  const shared = others.filter((load) => packed.has(load)).sort(leastInterferenceFirst);
  const best = findBestSplit(inputs, writer, [...apart, ...shared]);
  if (!best) return { kind: 'wait', rule: 'waits_for_memory' };
  if (isWorthWaiting(inputs, best)) return { kind: 'wait', rule: 'waits_for_reads' };
  const decision = best.isInTime ? START_NOW : latePolicy.decide(engines, demand, prefillMs);
  if (decision.kind !== 'begin') return decision;
  const forecast = { expectedFirstMs: best.place.expectedFirstMs, isInTime: best.isInTime };
  const isAccepted = best.interference <= acceptableInterference(demand, forecast);
  return isAccepted ? best.place : { kind: 'wait', rule: 'waits_for_slack' };
}
