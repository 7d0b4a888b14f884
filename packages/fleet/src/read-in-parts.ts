import type { Milliseconds } from '@poppypond/core';
import { acceptableInterference } from './accepted-harm.js';
import { chooseWriter } from './choose-writer.js';
import type { EngineLoad } from './engine-load.js';
import { estimateFirstEventMs } from './foresee-first.js';
import { interferenceCost } from './harm.js';
import type { LatePromptPolicy, LateDecision } from './late-prompts.js';
import { enginesForShortPrompts } from './pack-short.js';
import type { StreamPlan } from './stream-plan.js';
import { findBestSplit, MAX_PARTS } from './weigh-parts.js';
import type { SplitInputs, EvaluatedSplit } from './weigh-parts.js';

/** Engines whose writers a part harms less first, then those with less reading before them. */
function byInterference(partMs: Milliseconds): (left: EngineLoad, right: EngineLoad) => number {
  return (left, right) => {
    const harm = interferenceCost(left, partMs) - interferenceCost(right, partMs);
    if (harm !== 0) return harm;
    const reading = left.pendingPrefillMs - right.pendingPrefillMs;
    return reading === 0 ? right.slackMs - left.slackMs : reading;
  };
}

/**
 * Engines on which a part may be read. Engines read the newest part first, so a second part would
 * hold the first one up, and all other engines that read the same prompt with it.
 */
function withoutPendingPrefill(engines: readonly EngineLoad[]): readonly EngineLoad[] {
  return engines.filter((load) => load.pendingPrefillMs === 0);
}

/**
 * Whether a prompt that would be late now is to wait for reads that end soon: where that makes it
 * timely, or where its caller would have left before it began now and not if it waits.
 */
function isWorthWaiting({ engines, demand, readMs }: SplitInputs, now: EvaluatedSplit): boolean {
  if (now.isInTime) return false;
  const { waitedMs, aimMs, callerTimeoutMs: patienceMs } = demand;
  const foreseenMs = waitedMs + estimateFirstEventMs(engines, readMs);
  if (foreseenMs <= aimMs) return true;
  return waitedMs + now.place.expectedFirstMs > patienceMs && foreseenMs <= patienceMs;
}

/** Whether its caller leaves before the first event even if all engines were free at once. */
function isTooLate({ engines, demand, readMs }: SplitInputs): boolean {
  const soonestMs = readMs / Math.min(MAX_PARTS, engines.length);
  return demand.waitedMs + soonestMs > demand.callerTimeoutMs;
}

const START_NOW: LateDecision = { kind: 'begin' };

/**
 * Splits a long prompt over engines so that the writers there and the prompt itself lose least
 * together, or has it wait for a better moment. `lateRule` decides about one that would be late.
 */
export function planSplitPrefill(inputs: SplitInputs, latePolicy: LatePromptPolicy): StreamPlan {
  const { engines, writers, figures, demand, readMs } = inputs;
  if (isTooLate(inputs)) return { kind: 'refuse', rule: 'caller_leaves_first' };
  const packed = new Set(enginesForShortPrompts(engines, figures));
  const writer = chooseWriter(withoutPendingPrefill(writers), packed, figures);
  if (!writer) return { kind: 'wait', rule: 'waits_for_engine' };
  const others = withoutPendingPrefill(engines).filter((load) => load !== writer);
  const cheapFirst = byInterference(readMs / MAX_PARTS);
  const apart = others.filter((load) => !packed.has(load)).sort(cheapFirst);
  const shared = others.filter((load) => packed.has(load)).sort(cheapFirst);
  const best = findBestSplit(inputs, writer, [...apart, ...shared]);
  if (!best) return { kind: 'wait', rule: 'waits_for_memory' };
  if (isWorthWaiting(inputs, best)) return { kind: 'wait', rule: 'waits_for_reads' };
  const verdict = best.isInTime ? START_NOW : latePolicy.decide(engines, demand, readMs);
  if (verdict.kind !== 'begin') return verdict;
  const outlook = { expectedFirstMs: best.place.expectedFirstMs, isInTime: best.isInTime };
  const isAccepted = best.interference <= acceptableInterference(demand, outlook);
  return isAccepted ? best.place : { kind: 'wait', rule: 'waits_for_slack' };
}
