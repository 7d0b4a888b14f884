import type { EngineState } from '../engine-load.js';

/** One engine's part of a prompt that exceeds the KV memory of a single engine. */
export interface GroupPart {
  readonly engineId: string;
  /**
   * Tokens to reserve; a whole number of blocks except for the last part, which includes the
   * output.
   */
  readonly tokens: number;
}

/** Maximum number of engines for one prompt. */
export const MAX_GROUP_SIZE = 8;

/** Parts with fewer tokens are not worth a handover between engines. */
const MIN_PART_TOKENS = 16_384;

/** Number of a pool's engines that prompts split over several engines may use. */
export function groupEngineCount(engines: number, groupShare: number): number {
  return Math.floor(engines * groupShare);
}

/**
 * Splits a prompt over as few engines as possible, those with the most free memory. `margin` is the
 * fraction of each engine's memory that is not used. The parts are in the order of `engines`, so
 * that every host reserves in the same order. Returns undefined if the free memory is insufficient.
 */
export function planGroup(
  promptTokens: number,
  outputTokens: number,
  engines: readonly EngineState[],
  blockTokens: number,
  margin: number,
): readonly GroupPart[] | undefined {
  const byFreeMemory = engines
    .map((engine, order) => {
      const free = engine.kvTokens * (1 - margin) - engine.heldTokens;
      return { engine, order, blocks: Math.floor(free / blockTokens) };
    })
    .filter(({ blocks }) => blocks * blockTokens >= MIN_PART_TOKENS)
    .sort((a, b) => b.blocks - a.blocks)
    .slice(0, MAX_GROUP_SIZE);
  const outputBlocks = Math.ceil(outputTokens / blockTokens);
  const neededBlocks = Math.ceil(promptTokens / blockTokens) + outputBlocks;
  const chosen: typeof byFreeMemory = [];
  let blocks = 0;
  for (const candidate of byFreeMemory) {
    chosen.push(candidate);
    blocks += candidate.blocks;
    if (blocks >= neededBlocks) break;
  }
  if (blocks < neededBlocks) return undefined;
  chosen.sort((a, b) => a.order - b.order);
  return splitPrompt(promptTokens, outputTokens, chosen, blockTokens, outputBlocks);
}

function splitPrompt(
  promptTokens: number,
  outputTokens: number,
  chosen: readonly { readonly engine: EngineState; readonly blocks: number }[],
  blockTokens: number,
  outputBlocks: number,
): readonly GroupPart[] | undefined {
  const parts: GroupPart[] = [];
  let left = promptTokens;
  chosen.forEach(({ engine, blocks }, index) => {
    const remainingParts = chosen.length - 1 - index;
    // Every part prefills something: one block is left for each part that follows.
    const most = Math.ceil(left / blockTokens) - remainingParts;
    const blockCount = remainingParts === 0 ? blocks - outputBlocks : Math.min(blocks, most);
    const tokens = Math.min(left, Math.max(0, blockCount) * blockTokens);
    left -= tokens;
    if (tokens > 0) {
      parts.push({
        engineId: engine.id,
        tokens: tokens + (remainingParts === 0 ? outputTokens : 0),
      });
    }
  });
  return left > 0 || parts.length !== chosen.length ? undefined : parts;
}
