import { z } from 'zod';

const faultsSchema = z.strictObject({
  /** Ends the process at once. */
  die: z.boolean(),
  /** Stops stepping for this time. */
  pauseMs: z.number().nonnegative(),
  /** Multiplies each step's time. */
  slowdown: z.number().positive(),
  /** Cuts this many of the next streams after `cutAfterTokens` tokens. */
  cutStreams: z.int().nonnegative(),
  cutAfterTokens: z.int().nonnegative(),
  /** Runs the next calls but closes the connection in place of an answer. */
  loseAnswers: z.int().nonnegative(),
  /** Refuses the next calls with status 503. */
  refuseCalls: z.int().nonnegative(),
  /** Asks for this rest with each call that it refuses so; 0: for none. */
  restSeconds: z.number().nonnegative(),
  /** Drops every n-th cache event; 0 drops none. */
  dropCacheEventEvery: z.int().nonnegative(),
  cacheEventDelayMs: z.number().nonnegative(),
  /** Says that it is leaving. */
  leaving: z.boolean(),
  /** Sends each frame of the next streams twice and one stale frame of an older attempt. */
  repeatFrames: z.int().nonnegative(),
});

/** Fault switches of the engine stand-in; absent fields stay as they are. */
export const engineFaultsSchema = faultsSchema.partial();

/** Fault switches in force. */
export type EngineFaults = z.infer<typeof faultsSchema>;

/** No faults. */
export function noEngineFaults(): EngineFaults {
  return {
    die: false,
    pauseMs: 0,
    slowdown: 1,
    cutStreams: 0,
    cutAfterTokens: 0,
    loseAnswers: 0,
    refuseCalls: 0,
    restSeconds: 0,
    dropCacheEventEvery: 0,
    cacheEventDelayMs: 0,
    leaving: false,
    repeatFrames: 0,
  };
}
