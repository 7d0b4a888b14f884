import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';
import type { EngineLoad } from './engine-load.js';
import { interferenceCost, LATE_VALUE_LOSS } from './harm.js';
import { shareMemory } from './share-memory.js';
import { placement } from './stream-plan.js';
import type { StreamDemand, StreamPlacement } from './stream-plan.js';
import { streamValue } from './stream-worth.js';

/** What a long prompt is placed by. */
export interface SplitInputs {
  readonly engines: readonly EngineLoad[];
  /** Those that may write: their memory can hold the prompt, or none's can. */
  readonly writers: readonly EngineLoad[];
  readonly figures: EngineFigures;
  readonly demand: StreamDemand;
  /** Time to read the whole prompt on one engine. */
  readonly readMs: Milliseconds;
}

/** The most engines that read one prompt: the writer and sixteen others. */
export const MAX_PARTS = 17;
/** Parts are not made shorter than this; each engine more is one more that can fail. */
const MIN_PART_MS: Milliseconds = 20;
/**
 * A first event that is foreseen within this share of the aim is early enough: fewer engines then
 * do as well, and those left alone can take in what comes meanwhile. The rest of the aim covers
 * what was not foreseen. Half and nine tenths measured worse over drawn deployments.
 */
export const EARLY_SHARE = 0.7;

/**
 * Share of a part's time by which its end may come later than foreseen, by what is sent to the same
 * engines meanwhile. On bench days nine in ten long prompts stayed within 0.016 of their part.
 */
const OVERRUN_SHARE = 0.05;

/** The time of a part with what may come between. */
export function withOverrun(partMs: Milliseconds): Milliseconds {
  return partMs * (1 + OVERRUN_SHARE);
}

/** A placement and what it would cost. */
export interface EvaluatedSplit {
  readonly place: StreamPlacement;
  /** What the writers on the engines lose, in worth. */
  readonly interference: number;
  /** Whether its first event is expected within the aim. */
  readonly isInTime: boolean;
  /** Whether it is expected so early that fewer engines would be preferred. */
  readonly isEarly: boolean;
  /** What the writers and the prompt itself lose, in worth. */
  readonly valueLoss: number;
}

/**
 * A placement on the writer and the first of `others`, and what it would cost; undefined where
 * they can't hold the prompt together.
 */
function evaluateSplit(
  writer: EngineLoad,
  others: readonly EngineLoad[],
  parts: number,
  { readMs, demand, figures }: SplitInputs,
): EvaluatedSplit | undefined {
  const partMs = readMs / parts;
  const readers = others.slice(0, parts - 1);
  const wanted = demand.promptTokens + demand.answerTokens;
  const shares = shareMemory(writer, readers, figures, wanted);
  if (!shares) return undefined;
  const harm = [writer, ...readers].reduce((sum, load) => sum + interferenceCost(load, partMs), 0);
  const rule = harm > 0 ? 'parts_with_least_harm' : 'parts_without_harm';
  const place = { ...placement(rule, writer, readers, partMs), shares };
  const firstMs = demand.waitedMs + place.expectedFirstMs;
  const isInTime = firstMs - partMs + withOverrun(partMs) <= demand.aimMs;
  const ownLoss = isInTime ? 0 : streamValue(demand.promptTokens) * LATE_VALUE_LOSS;
  const isEarly = firstMs <= demand.aimMs * EARLY_SHARE;
  return { place, interference: harm, isInTime, isEarly, valueLoss: harm + ownLoss };
}

/** Whether `one` is to be preferred to `other`, which has more parts. */
function isBetter(one: EvaluatedSplit, other: EvaluatedSplit): boolean {
  return one.valueLoss < other.valueLoss || (one.isEarly && one.valueLoss === other.valueLoss);
}

/**
 * The number of parts by which writers and prompt lose least; of equals the fewest that are early,
 * else the most. Undefined where the engines can't hold the prompt.
 */
export function findBestSplit(
  inputs: SplitInputs,
  writer: EngineLoad,
  others: readonly EngineLoad[],
): EvaluatedSplit | undefined {
  const { readMs } = inputs;
  const most = Math.min(MAX_PARTS, others.length + 1, Math.ceil(readMs / MIN_PART_MS));
  let best: EvaluatedSplit | undefined;
  for (let parts = most; parts >= 1; parts -= 1) {
    const weighed = evaluateSplit(writer, others, parts, inputs);
    if (weighed && (!best || isBetter(weighed, best))) best = weighed;
  }
  return best;
}
