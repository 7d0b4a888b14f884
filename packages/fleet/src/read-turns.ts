import type { EngineFigures } from '@poppypond/routing';
import type { EngineLoad } from './engine-load.js';
import { packedEngines } from './pack-short.js';
import { MOST_PARTS } from './weigh-parts.js';

/**
 * Long prompts that may be read at once: each takes as many engines as may read one prompt, out of
 * those that are not kept for short answers.
 */
export function readTurns(engines: readonly EngineLoad[], figures: EngineFigures): number {
  const apart = engines.length - packedEngines(engines, figures).length;
  return Math.max(1, Math.round(apart / MOST_PARTS));
}
