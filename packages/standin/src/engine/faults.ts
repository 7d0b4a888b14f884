import { z } from 'zod';

const faultsSchema = z.strictObject({
  /** Terminates the process immediately. */
  die: z.boolean(),
  /** Pauses stepping for this time. */
  pauseMs: z.number().nonnegative(),
  /** Multiplies the duration of each step. */
  slowdown: z.number().positive(),
  /** Cuts this many of the next streams after `cutAfterTokens` tokens. */
  cutStreams: z.int().nonnegative(),
  cutAfterTokens: z.int().nonnegative(),
  /** Runs this many of the next calls but closes the connection instead of responding. */
  loseAnswers: z.int().nonnegative(),
  /** Refuses this many of the next calls with status 503. */
  refuseCalls: z.int().nonnegative(),
  /** Retry-After of each response with status 503, which asks for a backoff; 0 for none. */
  restSeconds: z.number().nonnegative(),
  /** Drops every n-th cache event; 0 for none. */
  dropCacheEventEvery: z.int().nonnegative(),
  cacheEventDelayMs: z.number().nonnegative(),
  /** Reports that it is leaving. */
  leaving: z.boolean(),
  /** Repeats each frame of this many of the next streams and adds one of an older attempt. */
  repeatFrames: z.int().nonnegative(),
});

/** Fault switches of the fake engine. Absent fields keep their values. */
export const engineFaultsSchema = faultsSchema.partial();

/** Current fault switches. */
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
