import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';
import type { EngineLoad } from './engine-load.js';
import { EARLY_SHARE } from './weigh-parts.js';
import { placement } from './stream-plan.js';
import type { StreamDemand, StreamPlan } from './stream-plan.js';

/** One place of an engine is left for what other hosts placed a moment ago. */
const PLACES_KEPT_FREE = 1;
/** Reading that a new short prompt may find before it, so that it still starts in time. */
const LONGEST_READ_BEFORE_MS: Milliseconds = 60;
/** The pass that goes on when a prompt comes, and the one that writes its first event. */
const PASSES_TO_FIRST_EVENT = 2;
/** Weight of one request that waits for a place on an engine, against reading before it. */
const UNSTARTED_COST_MS: Milliseconds = 300;
/** Short answers that may start before the view is next looked at; engines are kept for them. */
const SOON_STARTED = 6;

/** Short answers that one engine takes. */
function packedPlaces(figures: EngineFigures): number {
  return Math.max(1, figures.slots - PLACES_KEPT_FREE);
}

/**
 * The first engines, as many as hold the impatient writers of now and a few more. Long prompts
 * are read elsewhere, so that short ones need not flee to engines that long ones could use.
 */
export function packedEngines(
  engines: readonly EngineLoad[],
  figures: EngineFigures,
): readonly EngineLoad[] {
  const writers = engines.reduce((sum, load) => sum + load.impatientWriters, 0);
  const count = Math.ceil((writers + SOON_STARTED) / packedPlaces(figures));
  return engines.slice(0, Math.min(count, engines.length));
}

function busyness(load: EngineLoad, figures: EngineFigures): number {
  const queued = Math.max(0, load.writers + 1 - figures.slots);
  return queued * UNSTARTED_COST_MS + load.pendingReadMs + load.passMs;
}

/**
 * The first of the engines that are kept for short prompts on which a longer one can be read whole
 * without making anybody late; undefined where there is none.
 */
export function packWhole(
  engines: readonly EngineLoad[],
  figures: EngineFigures,
  readMs: Milliseconds,
  { aimMs, waitedMs }: StreamDemand,
): StreamPlan | undefined {
  const places = packedPlaces(figures);
  const firstMs = (load: EngineLoad) =>
    waitedMs + load.pendingReadMs + readMs + PASSES_TO_FIRST_EVENT * load.passMs;
  const packed = packedEngines(engines, figures).find(
    (load) =>
      load.writers < places && load.slackMs >= readMs && firstMs(load) <= aimMs * EARLY_SHARE,
  );
  return packed && placement('packed', packed, [], readMs);
}

/** Fills engines one after the other, so that few engines hold most of the impatient writers. */
export function packShort(
  engines: readonly EngineLoad[],
  figures: EngineFigures,
  readMs: Milliseconds,
): StreamPlan {
  const places = packedPlaces(figures);
  const packed = engines.find(
    (load) =>
      load.writers < places &&
      load.slackMs >= readMs &&
      load.pendingReadMs <= LONGEST_READ_BEFORE_MS,
  );
  if (packed) return placement('packed', packed, [], readMs);
  const [first, ...others] = engines;
  if (!first) return { kind: 'refuse', rule: 'no_engine' };
  const least = others.reduce(
    (best, load) => (busyness(load, figures) < busyness(best, figures) ? load : best),
    first,
  );
  return placement('least_busy', least, [], readMs);
}
