import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';
import type { EngineLoad } from './engine-load.js';
import { placement } from './stream-plan.js';
import type { StreamDemand, StreamPlan } from './stream-plan.js';
import { EARLY_SHARE } from './weigh-parts.js';

/** Reading that a new short prompt may find before it, so that it still starts in time. */
const MAX_PREFILL_AHEAD_MS: Milliseconds = 60;
/** Short answers that may start before the view is next looked at; engines are kept for them. */
const HEADROOM_ANSWERS = 6;

/**
 * The first engines, as many as hold the impatient writers of now and a few more. Long prompts
 * are read elsewhere, so that short ones need not flee to engines that long ones could use.
 */
export function enginesForShortPrompts(
  engines: readonly EngineLoad[],
  figures: EngineFigures,
): readonly EngineLoad[] {
  const writers = engines.reduce((sum, load) => sum + load.latencySensitiveWriters, 0);
  const count = Math.ceil((writers + HEADROOM_ANSWERS) / figures.slots);
  return engines.slice(0, Math.min(count, engines.length));
}

/** What a new request finds before it. */
function startDelayMs({
  slotWaitMs: placeWaitMs,
  pendingPrefillMs: pendingReadMs,
  passMs,
}: EngineLoad): Milliseconds {
  return placeWaitMs + pendingReadMs + passMs;
}

/**
 * The first of the engines that are kept for short prompts on which a longer one can be read whole
 * without making anybody late; undefined where there is none.
 */
export function packUnsplit(
  engines: readonly EngineLoad[],
  figures: EngineFigures,
  readMs: Milliseconds,
  { aimMs, waitedMs }: StreamDemand,
): StreamPlan | undefined {
  const places = enginesForShortPrompts(engines, figures)
    .filter((load) => load.writers < figures.slots && load.slackMs >= readMs)
    .map((load) => placement('packed', load, [], readMs));
  return places.find(({ expectedFirstMs }) => waitedMs + expectedFirstMs <= aimMs * EARLY_SHARE);
}

/** Fills engines one after the other, so that few engines hold most of the impatient writers. */
export function packShortPrompt(
  engines: readonly EngineLoad[],
  figures: EngineFigures,
  readMs: Milliseconds,
): StreamPlan {
  const packed = engines.find(
    (load) =>
      load.writers < figures.slots &&
      load.slackMs >= readMs &&
      load.pendingPrefillMs <= MAX_PREFILL_AHEAD_MS,
  );
  if (packed) return placement('packed', packed, [], readMs);
  const [first, ...others] = engines;
  if (!first) return { kind: 'refuse', rule: 'no_engine' };
  const least = others.reduce(
    (best, load) => (startDelayMs(load) < startDelayMs(best) ? load : best),
    first,
  );
  return placement('least_busy', least, [], readMs);
}
