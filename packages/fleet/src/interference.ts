import type { Milliseconds } from '@poppypond/core';
import type { EngineLoad } from './engine-load.js';

/** Share of its value that an answer loses if it is late. */
export const LATE_VALUE_LOSS = 0.75;

/**
 * Returns the value that the running answers of an engine lose to a prefill of `partMs`. The engine
 * time of a prompt is not counted: it is the same for any number of parts, so it favors none.
 */
export function interferenceCost(load: EngineLoad, partMs: Milliseconds): number {
  return load.slackMs >= partMs ? 0 : load.writersValue * LATE_VALUE_LOSS;
}
