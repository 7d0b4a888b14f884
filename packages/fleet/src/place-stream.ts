import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';
import { readTimeMs } from './engine-times.js';
import type { EngineLoad } from './fleet-view.js';

/** What is asked of a placement. */
export interface StreamDemand {
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly aimMs: Milliseconds;
  /** Time since the request came. */
  readonly waitedMs: Milliseconds;
}

/** The rule by which a stream was placed or made to wait. */
export type PlacementRule =
  | 'packed'
  | 'least_busy'
  | 'parts_without_harm'
  | 'parts_with_least_harm'
  | 'waits_for_slack'
  | 'too_large'
  | 'no_engine';

/** Where a stream runs. */
export interface StreamPlacement {
  readonly kind: 'place';
  readonly rule: PlacementRule;
  readonly writer: EngineLoad;
  /** Engines that read parts beside the writer; empty where it reads alone. */
  readonly readers: readonly EngineLoad[];
  /** Reading time on each engine concerned. */
  readonly partMs: Milliseconds;
  /** When the first event is expected, from now. */
  readonly expectedFirstMs: Milliseconds;
}

/** What to do with a stream now. `wait`: ask again when the view has changed or a little later. */
export type StreamPlan =
  | StreamPlacement
  | { readonly kind: 'wait'; readonly rule: PlacementRule }
  | { readonly kind: 'refuse'; readonly rule: PlacementRule };

/** Prompts that take no longer to read than this go whole to one engine. */
const WHOLE_READ_MS = 60;
/** Shares of the aim after which a prompt no longer waits for engines that it would not disturb. */
const PATIENCE_SHARE = 0.3;
/** The most engines that read one prompt: the writer and sixteen others. */
const MOST_PARTS = 17;
/** Parts are not made shorter than this; each engine more is one more that can fail. */
const SHORTEST_PART_MS = 20;
/** One place of an engine is left for what other hosts placed a moment ago. */
const PLACES_KEPT_FREE = 1;
/** Reading that a new short prompt may find before it, so that it still starts in time. */
const LONGEST_READ_BEFORE_MS = 60;

function hasRoom(load: EngineLoad, figures: EngineFigures, demand: StreamDemand): boolean {
  const wanted = demand.promptTokens + demand.answerTokens;
  return load.contextTokens + wanted <= figures.memoryTokens;
}

function usable(
  loads: readonly EngineLoad[],
  figures: EngineFigures,
  demand: StreamDemand,
): readonly EngineLoad[] {
  const roomy = loads.filter((load) => hasRoom(load, figures, demand));
  const trusted = roomy.filter((load) => !load.isSuspect);
  return trusted.length > 0 ? trusted : roomy;
}

function place(
  rule: PlacementRule,
  writer: EngineLoad,
  readers: readonly EngineLoad[],
  partMs: Milliseconds,
): StreamPlacement {
  const before = Math.max(...[writer, ...readers].map((load) => load.passMs + load.pendingReadMs));
  return { kind: 'place', rule, writer, readers, partMs, expectedFirstMs: before + partMs + writer.passMs };
}

function busyness(load: EngineLoad, figures: EngineFigures): number {
  const queued = Math.max(0, load.writers + 1 - figures.slots);
  return queued * UNSTARTED_COST_MS + load.pendingReadMs + load.passMs;
}

/** Weight of one request that waits for a place on an engine, against reading before it. */
const UNSTARTED_COST_MS = 300;

/** Fills engines one after the other, so that few engines hold most of the impatient writers. */
function placeWhole(
  loads: readonly EngineLoad[],
  figures: EngineFigures,
  readMs: Milliseconds,
): StreamPlan {
  const most = figures.slots - PLACES_KEPT_FREE;
  const packed = loads.find(
    (load) =>
      load.writers < most && load.slackMs >= readMs && load.pendingReadMs <= LONGEST_READ_BEFORE_MS,
  );
  if (packed) return place('packed', packed, [], readMs);
  const [first, ...others] = loads;
  if (!first) return { kind: 'refuse', rule: 'no_engine' };
  const least = others.reduce(
    (best, load) => (busyness(load, figures) < busyness(best, figures) ? load : best),
    first,
  );
  return place('least_busy', least, [], readMs);
}

/** Engines with few impatient writers and much free memory write long prompts; the last come first. */
function chooseWriter(loads: readonly EngineLoad[], figures: EngineFigures): EngineLoad | undefined {
  const free = loads.filter((load) => load.writers < figures.slots);
  const candidates = free.length > 0 ? free : loads;
  return candidates.reduceRight<EngineLoad | undefined>((best, load) => {
    if (!best) return load;
    if (load.impatientWriters !== best.impatientWriters) {
      return load.impatientWriters < best.impatientWriters ? load : best;
    }
    const cost = load.contextTokens + load.pendingReadMs;
    return cost < best.contextTokens + best.pendingReadMs ? load : best;
  }, undefined);
}

/** The largest set of engines, writer included, of which each can read an equal part in its slack. */
function harmlessReaders(
  writer: EngineLoad,
  others: readonly EngineLoad[],
  readMs: Milliseconds,
): readonly EngineLoad[] | undefined {
  const bySlack = [...others].sort((left, right) => right.slackMs - left.slackMs);
  const most = Math.min(MOST_PARTS, bySlack.length + 1, Math.ceil(readMs / SHORTEST_PART_MS));
  for (let parts = most; parts >= 1; parts -= 1) {
    const partMs = readMs / parts;
    const readers = bySlack.slice(0, parts - 1);
    if ([writer, ...readers].every((load) => load.slackMs >= partMs)) return readers;
  }
  return undefined;
}

function leastHarmReaders(others: readonly EngineLoad[]): readonly EngineLoad[] {
  const patient = others.filter((load) => load.impatientWriters === 0);
  return patient.slice(-(MOST_PARTS - 1));
}

function placeInParts(
  all: readonly EngineLoad[],
  writers: readonly EngineLoad[],
  figures: EngineFigures,
  demand: StreamDemand,
  readMs: Milliseconds,
): StreamPlan {
  const writer = chooseWriter(writers, figures);
  if (!writer) return { kind: 'refuse', rule: 'no_engine' };
  const others = all.filter((load) => load !== writer && !load.isSuspect);
  const harmless = harmlessReaders(writer, others, readMs);
  if (harmless) {
    return place('parts_without_harm', writer, harmless, readMs / (harmless.length + 1));
  }
  if (demand.waitedMs < demand.aimMs * PATIENCE_SHARE) {
    return { kind: 'wait', rule: 'waits_for_slack' };
  }
  const readers = leastHarmReaders(others);
  return place('parts_with_least_harm', writer, readers, readMs / (readers.length + 1));
}

/**
 * Chooses the engine that writes an answer and those that help to read its prompt, for the most
 * in-time answers over all callers. Short prompts are packed on the first engines; long ones are
 * read in parts on engines whose writers allow the pause, after a short wait if there are none.
 * `loads` are all engines that may take work, in an order that every host agrees on.
 */
export function planStream(
  loads: readonly EngineLoad[],
  figures: EngineFigures,
  demand: StreamDemand,
): StreamPlan {
  if (loads.length === 0) return { kind: 'refuse', rule: 'no_engine' };
  if (demand.promptTokens + demand.answerTokens > figures.memoryTokens) {
    return { kind: 'refuse', rule: 'too_large' };
  }
  const candidates = usable(loads, figures, demand);
  if (candidates.length === 0) {
    const isPatient = demand.waitedMs < demand.aimMs;
    return isPatient ? { kind: 'wait', rule: 'waits_for_slack' } : { kind: 'refuse', rule: 'no_engine' };
  }
  const readMs = readTimeMs(figures, demand.promptTokens);
  if (readMs <= WHOLE_READ_MS) return placeWhole(candidates, figures, readMs);
  return placeInParts(loads, candidates, figures, demand, readMs);
}
