import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';
import { LONG_READ_MS } from './fleet-view.js';
import type { EngineLoad } from './fleet-view.js';
import { packedEngines } from './pack-short.js';
import { shareMemory } from './share-memory.js';
import { placement } from './stream-plan.js';
import type { StreamDemand, StreamPlacement, StreamPlan } from './stream-plan.js';
import { streamWorth } from './stream-worth.js';

/** What a long prompt is placed by. */
export interface PartsInputs {
  readonly engines: readonly EngineLoad[];
  /** Those that may write: their memory can hold the prompt, or none's can. */
  readonly writers: readonly EngineLoad[];
  readonly figures: EngineFigures;
  readonly demand: StreamDemand;
  /** Time to read the whole prompt on one engine. */
  readonly readMs: Milliseconds;
}

/** Harm to others up to this share of the prompt's own worth is not worth a wait. */
const ACCEPTED_HARM_SHARE = 0.1;
/** With less time than this before it would be late, a prompt weighs the harm and goes. */
const LAST_CHANCE_MS: Milliseconds = 350;
/**
 * A prompt that is late anyway waits for engines that it would not disturb, up to this many aims.
 * Callers of today wait for five; one that leaves untried after half of that costs most.
 */
export const LATE_PATIENCE_AIMS = 1.5;
/** The most engines that read one prompt: the writer and sixteen others. */
const MOST_PARTS = 17;
/** Parts are not made shorter than this; each engine more is one more that can fail. */
const SHORTEST_PART_MS: Milliseconds = 20;
/** Share of its worth that an answer loses by being late. */
const LATE_LOSS = 0.75;
/**
 * Engines take nothing else in until their part is read, so longer parts make later prompts late.
 * Turns of up to this length leave room in the aims of those that wait.
 */
const UNNOTICED_PART_MS: Milliseconds = 700;
/** Worth that others lose for each second that engines are held beyond that. */
const WORTH_PER_SECOND_HELD = 10;
const MS_PER_SECOND = 1000;

/** Patient engines with much free memory write long prompts; of equals the last. */
function chooseWriter(
  writers: readonly EngineLoad[],
  packed: ReadonlySet<EngineLoad>,
  figures: EngineFigures,
): EngineLoad | undefined {
  const free = writers.filter((load) => load.writers < figures.slots);
  const apart = free.filter((load) => !packed.has(load));
  const candidates = [apart, free, writers].find((loads) => loads.length > 0) ?? [];
  return candidates.reduceRight<EngineLoad | undefined>((best, load) => {
    if (!best) return load;
    if (load.impatientWriters !== best.impatientWriters) {
      return load.impatientWriters < best.impatientWriters ? load : best;
    }
    return load.memoryTokens < best.memoryTokens ? load : best;
  }, undefined);
}

function bySlackDown(left: EngineLoad, right: EngineLoad): number {
  return right.slackMs - left.slackMs;
}

/** What the writers of an engine lose by a read of `partMs`, in worth. */
function harmOf(load: EngineLoad, partMs: Milliseconds): number {
  return load.slackMs >= partMs ? 0 : load.writersWorth * LATE_LOSS;
}

/** What the prompts behind lose while engines read parts of `partMs`, in worth. */
function harmOfHolding(partMs: Milliseconds): number {
  const noticedMs = Math.max(0, partMs - UNNOTICED_PART_MS);
  return (noticedMs / MS_PER_SECOND) * WORTH_PER_SECOND_HELD;
}

interface Weighed {
  readonly place: StreamPlacement;
  /** What the writers on the engines and the prompts behind this one lose, in worth. */
  readonly harm: number;
  readonly isInTime: boolean;
}

/** A placement on the writer and the first of `others`, and what it would cost. */
function weigh(
  writer: EngineLoad,
  others: readonly EngineLoad[],
  parts: number,
  { readMs, demand }: PartsInputs,
): Weighed {
  const partMs = readMs / parts;
  const readers = others.slice(0, parts - 1);
  const writersHarm = [writer, ...readers].reduce((sum, load) => sum + harmOf(load, partMs), 0);
  const harm = writersHarm + harmOfHolding(partMs);
  const rule = writersHarm > 0 ? 'parts_with_least_harm' : 'parts_without_harm';
  const place = placement(rule, writer, readers, partMs);
  return { place, harm, isInTime: demand.waitedMs + place.expectedFirstMs <= demand.aimMs };
}

/** The placement after which all together have most, of all numbers of parts. */
function leastLoss(
  inputs: PartsInputs,
  writer: EngineLoad,
  others: readonly EngineLoad[],
): Weighed {
  const { readMs, demand } = inputs;
  const ownLoss = streamWorth(demand.promptTokens) * LATE_LOSS;
  const lossOf = ({ harm, isInTime }: Weighed) => harm + (isInTime ? 0 : ownLoss);
  const most = Math.min(MOST_PARTS, others.length + 1, Math.ceil(readMs / SHORTEST_PART_MS));
  let best = weigh(writer, others, most, inputs);
  for (let parts = most - 1; parts >= 1; parts -= 1) {
    const weighed = weigh(writer, others, parts, inputs);
    if (lossOf(weighed) < lossOf(best)) best = weighed;
  }
  return best;
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
  if (readMs >= LONG_READ_MS && !demand.mayReadLong)
    return { kind: 'wait', rule: 'waits_for_turn' };
  const packed = new Set(packedEngines(engines, figures));
  const writer = chooseWriter(writers, packed, figures);
  if (!writer) return { kind: 'refuse', rule: 'no_engine' };
  const others = engines.filter((load) => load !== writer);
  const apart = others.filter((load) => !packed.has(load)).sort(bySlackDown);
  const shared = others.filter((load) => packed.has(load)).sort(bySlackDown);
  const best = leastLoss(inputs, writer, [...apart, ...shared]);
  if (isWorthWaiting(best, inputs)) return { kind: 'wait', rule: 'waits_for_slack' };
  const wanted = demand.promptTokens + demand.answerTokens;
  const shares = shareMemory(writer, best.place.readers, figures, wanted);
  return shares ? { ...best.place, shares } : { kind: 'wait', rule: 'waits_for_memory' };
}
