import type { Milliseconds } from '@poppypond/core';
import { chooseWriter } from './choose-writer.js';
import type { EngineLoad } from './engine-load.js';
import { harmOf, harmOfHolding, LATE_LOSS } from './harm.js';
import { LATE_PATIENCE_AIMS, LONG_READ_MS } from './long-read.js';
import { packedEngines } from './pack-short.js';
import { shareMemory } from './share-memory.js';
import type { StreamPlan } from './stream-plan.js';
import { streamWorth } from './stream-worth.js';
import { leastLoss, MOST_PARTS } from './weigh-parts.js';
import type { PartsInputs, Weighed } from './weigh-parts.js';

/** Harm to others up to this share of the prompt's own worth is not worth a wait. */
const ACCEPTED_HARM_SHARE = 0.1;
/** With less time than this before it would be late, a prompt weighs the harm and goes. */
const LAST_CHANCE_MS: Milliseconds = 350;

/** Engines that nearly have read what lies before them count as free. */
const NEARLY_FREE_MS: Milliseconds = 40;

/** Engines whose writers a part harms less first, then those with less reading before them. */
function byCost(partMs: Milliseconds): (left: EngineLoad, right: EngineLoad) => number {
  return (left, right) => {
    const harm = harmOf(left, partMs) - harmOf(right, partMs);
    if (harm !== 0) return harm;
    const reading = left.pendingReadMs - right.pendingReadMs;
    return reading === 0 ? right.slackMs - left.slackMs : reading;
  };
}

/**
 * Engines on which a long prompt may be read. Engines read the newest part first, so a second
 * long part would hold the first one up, and all other engines that read the same prompt with it.
 */
function freeOfReads(engines: readonly EngineLoad[], readMs: Milliseconds): readonly EngineLoad[] {
  if (readMs < LONG_READ_MS) return engines;
  return engines.filter((load) => load.pendingReadMs <= NEARLY_FREE_MS);
}

/** Whether to wait for a moment at which the best placement costs others less. */
function isWorthWaiting(
  { place, harm: wholeHarm, isInTime }: Weighed,
  { demand, engines, readMs }: PartsInputs,
): boolean {
  const worth = streamWorth(demand.promptTokens);
  // What even all engines would be held for, no wait can spare.
  const harm = wholeHarm - harmOfHolding(readMs / Math.min(MOST_PARTS, engines.length));
  if (harm <= worth * ACCEPTED_HARM_SHARE) return false;
  const sparedMs = demand.aimMs - demand.waitedMs - place.expectedFirstMs;
  if (isInTime && sparedMs > LAST_CHANCE_MS) return true;
  if (isInTime && harm < worth * LATE_LOSS) return false;
  return demand.waitedMs < demand.aimMs * LATE_PATIENCE_AIMS;
}

/**
 * Splits a long prompt over engines so that the writers there, the prompts behind it and the
 * prompt itself lose least together. Long reads take turns.
 */
export function readInParts(inputs: PartsInputs): StreamPlan {
  const { engines, writers, figures, demand, readMs } = inputs;
  if (readMs >= LONG_READ_MS && !demand.mayReadLong) {
    return { kind: 'wait', rule: 'waits_for_turn' };
  }
  const packed = new Set(packedEngines(engines, figures));
  const writer = chooseWriter(freeOfReads(writers, readMs), packed, figures);
  if (!writer) return { kind: 'wait', rule: 'waits_for_turn' };
  const others = freeOfReads(engines, readMs).filter((load) => load !== writer);
  const cheapFirst = byCost(readMs / MOST_PARTS);
  const apart = others.filter((load) => !packed.has(load)).sort(cheapFirst);
  const shared = others.filter((load) => packed.has(load)).sort(cheapFirst);
  const best = leastLoss(inputs, writer, [...apart, ...shared]);
  if (isWorthWaiting(best, inputs)) return { kind: 'wait', rule: 'waits_for_slack' };
  const wanted = demand.promptTokens + demand.answerTokens;
  const shares = shareMemory(writer, best.place.readers, figures, wanted);
  return shares ? { ...best.place, shares } : { kind: 'wait', rule: 'waits_for_memory' };
}
