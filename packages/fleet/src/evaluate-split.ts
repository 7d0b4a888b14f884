import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';
import type { EngineLoad } from './engine-load.js';
import { interferenceCost, LATE_VALUE_LOSS } from './interference.js';
import { shareMemory } from './share-memory.js';
import { placement } from './stream-plan.js';
import type { StreamDemand, StreamPlacement } from './stream-plan.js';
import { streamValue } from './stream-value.js';

/** Inputs for placing a long prompt. */
export interface SplitInputs {
  readonly engines: readonly EngineLoad[];
  /**
   * Engines that may decode the answer: those whose memory can hold the prompt, or all if there are
   * none.
   */
  readonly writers: readonly EngineLoad[];
  readonly figures: EngineFigures;
  readonly demand: StreamDemand;
  /** Time to prefill the entire prompt on one engine. */
  readonly prefillMs: Milliseconds;
}

/** Maximum number of engines that prefill one prompt: the writer and sixteen others. */
export const MAX_PARTS = 17;
/** Minimum length of a part: each additional engine is one more that can fail. */
const MIN_PART_MS: Milliseconds = 20;
/**
 * A first event expected within this share of its latency target is early enough, so fewer engines
 * are used and the others stay free for requests that arrive meanwhile. The rest of the target
 * absorbs estimation errors. Shares of 0.5 and 0.9 give worse results in simulated random
 * deployments.
 */
export const EARLY_SHARE = 0.7;

/**
 * Share of a part's time by which it may overrun its estimate because of requests sent to the same
 * engines meanwhile. Nine in ten long prompts overrun by at most 0.016 in benchmark runs.
 */
const OVERRUN_SHARE = 0.05;

/** Returns the time of a part including a possible overrun. */
export function withOverrun(partMs: Milliseconds): Milliseconds {
  return partMs * (1 + OVERRUN_SHARE);
}

/** A split of a prompt over engines and its cost. */
export interface EvaluatedSplit {
  readonly place: StreamPlacement;
  /** Value that the running answers on these engines lose. */
  readonly interference: number;
  /** Whether the first event is expected within its latency target. */
  readonly isInTime: boolean;
  /** Whether the first event is expected so early that fewer engines are preferred. */
  readonly isEarly: boolean;
  /** Value that the running answers and the prompt itself lose. */
  readonly valueLoss: number;
}

/**
 * Evaluates a split into `parts` over the writer and the first of `others`. Returns undefined if
 * their combined memory can't hold the prompt.
 */
function evaluateSplit(
  writer: EngineLoad,
  others: readonly EngineLoad[],
  parts: number,
  { prefillMs, demand, figures }: SplitInputs,
): EvaluatedSplit | undefined {
  const partMs = prefillMs / parts;
  const readers = others.slice(0, parts - 1);
  const wanted = demand.promptTokens + demand.answerTokens;
  const shares = shareMemory(writer, readers, figures, wanted);
  if (!shares) return undefined;
  const interference = [writer, ...readers].reduce(
    (sum, load) => sum + interferenceCost(load, partMs),
    0,
  );
  const rule = interference > 0 ? 'parts_with_least_harm' : 'parts_without_harm';
  const place = { ...placement(rule, writer, readers, partMs), shares };
  const firstMs = demand.waitedMs + place.expectedFirstMs;
  const isInTime = firstMs - partMs + withOverrun(partMs) <= demand.aimMs;
  const ownLoss = isInTime ? 0 : streamValue(demand.promptTokens) * LATE_VALUE_LOSS;
  const isEarly = firstMs <= demand.aimMs * EARLY_SHARE;
  return { place, interference, isInTime, isEarly, valueLoss: interference + ownLoss };
}

/** Whether `one` is preferred to `other`, which has more parts. */
function isBetter(one: EvaluatedSplit, other: EvaluatedSplit): boolean {
  return one.valueLoss < other.valueLoss || (one.isEarly && one.valueLoss === other.valueLoss);
}

/**
 * Returns the split with the least loss of value. Among equal ones it prefers the fewest parts
 * whose first event is early, or else the most parts. Returns undefined if the engines can't hold
 * the prompt.
 */
export function findBestSplit(
  inputs: SplitInputs,
  writer: EngineLoad,
  others: readonly EngineLoad[],
): EvaluatedSplit | undefined {
  const { prefillMs } = inputs;
  const most = Math.min(MAX_PARTS, others.length + 1, Math.ceil(prefillMs / MIN_PART_MS));
  let best: EvaluatedSplit | undefined;
  for (let parts = most; parts >= 1; parts -= 1) {
    const candidate = evaluateSplit(writer, others, parts, inputs);
    if (candidate && (!best || isBetter(candidate, best))) best = candidate;
  }
  return best;
}
