import type { EngineFigures } from '@poppypond/routing';
import type { EngineLoad } from './engine-load.js';

/**
 * Chooses the engine that decodes the answer to a long prompt: the one with the fewest
 * latency-sensitive writers, then the one that uses the least memory; ties go to the last engine.
 * Engines with a free slot that are not set apart for short prompts (`packed`) come first, then any
 * with a free slot, then all. Returns undefined if `writers` is empty.
 */
export function chooseWriter(
  writers: readonly EngineLoad[],
  packed: ReadonlySet<EngineLoad>,
  figures: EngineFigures,
): EngineLoad | undefined {
  const free = writers.filter((load) => load.writers < figures.slots);
  const apart = free.filter((load) => !packed.has(load));
  const candidates = [apart, free, writers].find((loads) => loads.length > 0) ?? [];
  return candidates.reduceRight<EngineLoad | undefined>((best, load) => {
    if (!best) return load;
    if (load.latencySensitiveWriters !== best.latencySensitiveWriters) {
      return load.latencySensitiveWriters < best.latencySensitiveWriters ? load : best;
    }
    return load.usedMemoryTokens < best.usedMemoryTokens ? load : best;
  }, undefined);
}
