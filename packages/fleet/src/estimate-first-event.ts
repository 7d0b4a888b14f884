import type { Milliseconds } from '@poppypond/core';
import type { EngineLoad } from './engine-load.js';
import { MAX_PARTS, withOverrun } from './evaluate-split.js';

/**
 * Returns the `parts`-th engine, in order of pending prefill, on which a part would delay no writer
 * once its prefills are done.
 */
function findNthSuitableEngine(
  byPendingPrefill: readonly EngineLoad[],
  parts: number,
  partMs: Milliseconds,
): EngineLoad | undefined {
  let found = 0;
  return byPendingPrefill.find(({ slackMs, pendingPrefillMs }) => {
    if (slackMs + pendingPrefillMs >= partMs) found += 1;
    return found === parts;
  });
}

/**
 * Returns the shortest time from now until the first event of a prompt that waits for running
 * prefills to end. For each number of parts, the prompt starts once that many engines whose writers
 * a part would not delay have finished their prefills. Returns infinity if there is no such engine.
 */
export function estimateFirstEventMs(
  engines: readonly EngineLoad[],
  prefillMs: Milliseconds,
): Milliseconds {
  const byPendingPrefill = [...engines].sort(
    (one, other) => one.pendingPrefillMs - other.pendingPrefillMs,
  );
  let earliestMs = Number.POSITIVE_INFINITY;
  for (let parts = 1; parts <= Math.min(MAX_PARTS, engines.length); parts += 1) {
    const partMs = prefillMs / parts;
    const lastEngine = findNthSuitableEngine(byPendingPrefill, parts, partMs);
    if (!lastEngine) continue;
    const firstMs = lastEngine.pendingPrefillMs + withOverrun(partMs) + lastEngine.passMs;
    earliestMs = Math.min(earliestMs, firstMs);
  }
  return earliestMs;
}
