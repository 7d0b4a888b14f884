import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';
import { readTimeMs } from './engine-times.js';
import type { EngineLoad } from './fleet-view.js';
import { packShort } from './pack-short.js';
import { readInParts } from './read-in-parts.js';
import type { StreamDemand, StreamPlan } from './stream-plan.js';

/** Prompts that take no longer to read than this go whole to one engine. */
const WHOLE_READ_MS: Milliseconds = 60;

function hasRoom(load: EngineLoad, figures: EngineFigures, demand: StreamDemand): boolean {
  const wanted = demand.promptTokens + demand.answerTokens;
  return load.contextTokens + wanted <= figures.memoryTokens;
}

function trustedOrAll(loads: readonly EngineLoad[]): readonly EngineLoad[] {
  const trusted = loads.filter((load) => !load.isSuspect);
  return trusted.length > 0 ? trusted : loads;
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
  const readMs = readTimeMs(figures, demand.promptTokens);
  const usable = trustedOrAll(loads);
  const roomy = usable.filter((load) => hasRoom(load, figures, demand));
  if (roomy.length === 0) {
    const isPatient = demand.waitedMs < demand.aimMs;
    return isPatient ? { kind: 'wait', rule: 'waits_for_memory' } : { kind: 'refuse', rule: 'no_engine' };
  }
  if (readMs <= WHOLE_READ_MS) return packShort(roomy, figures, readMs);
  return readInParts({ engines: usable, roomy, figures, demand, readMs });
}
