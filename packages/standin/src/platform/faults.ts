import { z } from 'zod';

/** Fault switches of the platform stand-in; absent fields stay as they are. */
export const platformFaultsSchema = z.strictObject({
  /** Closes connections to table and object store without an answer. */
  down: z.boolean().optional(),
  /** Takes calls and never answers. */
  hang: z.boolean().optional(),
  slowMs: z.number().nonnegative().optional(),
  /** Applies this many of the next writes whose key starts with `lostPrefix`, then loses the answer. */
  loseWriteAnswers: z.int().nonnegative().optional(),
  lostPrefix: z.string().optional(),
  /** Delays the effect of writes whose answer is lost. */
  lostEffectDelayMs: z.number().nonnegative().optional(),
  hostListLagMs: z.number().nonnegative().optional(),
});

/** Fault switches in force. */
export interface PlatformFaults {
  down: boolean;
  hang: boolean;
  slowMs: number;
  loseWriteAnswers: number;
  lostPrefix: string;
  lostEffectDelayMs: number;
  hostListLagMs: number;
}

/** No faults, but the host list's ordinary lag. */
export function noPlatformFaults(hostListLagMs: number): PlatformFaults {
  return {
    down: false,
    hang: false,
    slowMs: 0,
    loseWriteAnswers: 0,
    lostPrefix: '',
    lostEffectDelayMs: 0,
    hostListLagMs,
  };
}
