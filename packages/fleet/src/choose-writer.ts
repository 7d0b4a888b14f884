import type { EngineFigures } from '@poppypond/routing';
import type { EngineLoad } from './engine-load.js';

/** Patient engines with much free memory write long prompts; of equals the last. */
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
