import type { EngineFigures } from '@poppypond/routing';
import type { EngineLoad } from './engine-load.js';

/** Memory to be held on one engine for a prompt that another writes. */
export interface MemoryShare {
  readonly engine: EngineLoad;
  readonly tokens: number;
}

/** Part of an engine's free memory that a large prompt may take; answers there still grow. */
const MAX_SHARE_OF_FREE = 0.9;
/** Engines store whole blocks of tokens, so sums are planned with a little more. */
const BLOCK_ROUNDING_TOKENS = 64;

/** Tokens that an engine can still take. */
export function freeMemoryTokens(load: EngineLoad, figures: EngineFigures): number {
  return Math.max(0, figures.memoryTokens - load.usedMemoryTokens);
}

/**
 * Spreads what the writer can't hold over other engines, those with most free memory first.
 * Empty where the writer holds all; undefined where even all together can't.
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
