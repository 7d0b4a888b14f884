import type { Milliseconds } from '@poppypond/core';
import type { EngineLoad } from './engine-load.js';
import { MAX_PARTS, withOverrun } from './weigh-parts.js';

/** The last to be free of reads of the first `parts` engines on which a part harms no writer. */
function findNthSuitableEngine(
  soonFreeFirst: readonly EngineLoad[],
  parts: number,
  partMs: Milliseconds,
): EngineLoad | undefined {
  let found = 0;
  return soonFreeFirst.find(({ slackMs, pendingPrefillMs: pendingReadMs }) => {
    if (slackMs + pendingReadMs >= partMs) found += 1;
    return found === parts;
  });
}

/**
 * The soonest first event, from now, of a prompt that waits until reads that run now are over: with
 * each number of parts, once that many engines are free of reads on which a part harms no writer.
 * Infinite where no engine ever is.
 */
export function estimateFirstEventMs(
  engines: readonly EngineLoad[],
  readMs: Milliseconds,
): Milliseconds {
  const soonFreeFirst = [...engines].sort(
    (one, other) => one.pendingPrefillMs - other.pendingPrefillMs,
  );
  let soonestMs = Number.POSITIVE_INFINITY;
  for (let parts = 1; parts <= Math.min(MAX_PARTS, engines.length); parts += 1) {
    const partMs = readMs / parts;
    const lastFree = findNthSuitableEngine(soonFreeFirst, parts, partMs);
    if (!lastFree) continue;
    const firstMs = lastFree.pendingPrefillMs + withOverrun(partMs) + lastFree.passMs;
    soonestMs = Math.min(soonestMs, firstMs);
  }
  return soonestMs;
}
