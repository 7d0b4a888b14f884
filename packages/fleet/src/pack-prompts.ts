import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';
import type { EngineLoad } from './engine-load.js';
import { placement } from './stream-plan.js';
import type { StreamDemand, StreamPlan } from './stream-plan.js';
import { EARLY_SHARE } from './evaluate-split.js';

/** Maximum pending prefill behind which a short prompt still starts in time. */
const MAX_PREFILL_AHEAD_MS: Milliseconds = 60;
/**
 * Number of further short answers to keep engines for, as they may start before the next planning
 * round.
 */
const HEADROOM_ANSWERS = 6;

/**
 * Returns the first engines, as many as are needed for the current latency-sensitive writers and a
 * few more. Long prompts are preferably prefilled elsewhere, so that short ones don't move to
 * engines that long ones could use.
 */
export function enginesForShortPrompts(
  engines: readonly EngineLoad[],
  figures: EngineFigures,
): readonly EngineLoad[] {
  const writers = engines.reduce((sum, load) => sum + load.latencySensitiveWriters, 0);
  const count = Math.ceil((writers + HEADROOM_ANSWERS) / figures.slots);
  return engines.slice(0, Math.min(count, engines.length));
}

/**
 * Returns the time until an engine can start a new request, and how much longer than others it then
 * takes for the prefill.
 */
function startDelayMs(
  { slotWaitMs, pendingPrefillMs, passMs, slowdown }: EngineLoad,
  prefillMs: Milliseconds,
): Milliseconds {
  return slotWaitMs + pendingPrefillMs + passMs + (slowdown - 1) * prefillMs;
}

/**
 * Places a prompt unsplit on the first of the engines for short prompts that can prefill it without
 * making any answer late. Returns undefined if there is none.
 */
export function packUnsplit(
  engines: readonly EngineLoad[],
  figures: EngineFigures,
  prefillMs: Milliseconds,
  { aimMs, waitedMs }: StreamDemand,
): StreamPlan | undefined {
  const candidates = enginesForShortPrompts(engines, figures)
    .filter((load) => load.writers < figures.slots && load.slackMs >= prefillMs)
    .map((load) => placement('packed', load, [], prefillMs));
  return candidates.find(
    ({ expectedFirstMs }) => waitedMs + expectedFirstMs <= aimMs * EARLY_SHARE,
  );
}

/**
 * Places a short prompt so that engines of the usual speed fill up one after another and few of them hold most of the
 * latency-sensitive writers. If no engine can take it without delaying a writer, it goes to the one
 * that can start it first. `engines` are in the order in which they fill up, slow ones last.
 */
export function packShortPrompt(
  engines: readonly EngineLoad[],
  figures: EngineFigures,
  prefillMs: Milliseconds,
): StreamPlan {
  const leastSlowdown = engines[0]?.slowdown;
  const packed = engines.find(
    (load) =>
      load.slowdown === leastSlowdown &&
      load.writers < figures.slots &&
      load.slackMs >= prefillMs &&
      load.pendingPrefillMs <= MAX_PREFILL_AHEAD_MS,
  );
  if (packed) return placement('packed', packed, [], prefillMs);
  const [first, ...others] = engines;
  if (!first) return { kind: 'refuse', rule: 'no_engine' };
  const least = others.reduce(
    (best, load) => (startDelayMs(load, prefillMs) < startDelayMs(best, prefillMs) ? load : best),
    first,
  );
  return placement('least_busy', least, [], prefillMs);
}
