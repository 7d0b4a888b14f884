import type { EngineFigures } from '@poppypond/routing';
import type { EngineLoad } from './engine-load.js';

/** Memory to reserve on one engine for an answer that another one decodes. */
export interface MemoryShare {
  readonly engine: EngineLoad;
  readonly tokens: number;
}

/**
 * Share of an engine's free memory that a large prompt may take; running answers there still grow.
 */
const MAX_SHARE_OF_FREE = 0.9;
/** Engines allocate memory in blocks of tokens, so a little more than the exact sum is planned. */
const BLOCK_ROUNDING_TOKENS = 64;

/** Returns the tokens that an engine can still store. */
export function freeMemoryTokens(load: EngineLoad, figures: EngineFigures): number {
  return Math.max(0, figures.memoryTokens - load.usedMemoryTokens);
}

/**
 * Distributes the tokens that the writer can't store over other engines, those with the most free
 * memory first. Returns an empty list if the writer can store all, and undefined if even all
 * engines together can't.
 */
export function shareMemory(
  writer: EngineLoad,
  readers: readonly EngineLoad[],
  figures: EngineFigures,
  tokens: number,
): readonly MemoryShare[] | undefined {
  const free = freeMemoryTokens(writer, figures);
  if (tokens <= free) return [];
  let left = tokens + BLOCK_ROUNDING_TOKENS - Math.floor(free * MAX_SHARE_OF_FREE);
  const shares: MemoryShare[] = [];
  const byFree = [...readers].sort(
    (a, b) => freeMemoryTokens(b, figures) - freeMemoryTokens(a, figures),
  );
  for (const engine of byFree) {
    const share = Math.min(left, Math.floor(freeMemoryTokens(engine, figures) * MAX_SHARE_OF_FREE));
    if (share <= 0) break;
    shares.push({ engine, tokens: share });
    left -= share;
    if (left <= 0) return shares;
  }
  return undefined;
}
