import type { Milliseconds } from '@poppypond/core';
import type { EngineLoad } from './engine-load.js';

/** Share of its worth that an answer loses by being late. */
export const LATE_VALUE_LOSS = 0.75;

/**
 * What the writers of an engine lose by a read of `partMs`, in worth. The engine time that a prompt
 * takes is the same in one part or in many, so it is no reason to prefer either.
 */
export function interferenceCost(load: EngineLoad, partMs: Milliseconds): number {
  return load.slackMs >= partMs ? 0 : load.writersValue * LATE_VALUE_LOSS;
}
