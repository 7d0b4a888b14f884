import type { Milliseconds } from '@poppypond/core';
import type { EngineLoad } from './engine-load.js';
import { MOST_PARTS, withOverrun } from './weigh-parts.js';

/**
 * The soonest first event, from now, of a prompt that waits until reads that run now are over: with
 * each number of parts, once that many engines are free of reads on which a part harms no writer.
 * Infinite where no engine ever is.
 */
export function foreseeFirstMs(engines: readonly EngineLoad[], readMs: Milliseconds): Milliseconds {
  const soonFreeFirst = [...engines].sort((one, other) => one.pendingReadMs - other.pendingReadMs);
  let soonestMs = Number.POSITIVE_INFINITY;
  for (let parts = 1; parts <= Math.min(MOST_PARTS, engines.length); parts += 1) {
    const partMs = readMs / parts;
    const harmless = soonFreeFirst.filter(
      ({ slackMs, pendingReadMs }) => slackMs + pendingReadMs >= partMs,
    );
    const lastFree = harmless[parts - 1];
    if (!lastFree) continue;
    const firstMs = lastFree.pendingReadMs + withOverrun(partMs) + lastFree.passMs;
    soonestMs = Math.min(soonestMs, firstMs);
  }
  return soonestMs;
}
