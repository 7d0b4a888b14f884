import { z } from 'zod';

/** Fault switches of the fake platform. Absent fields keep their values. */
export const platformFaultsSchema = z.strictObject({
  /** Closes connections to the table and the object store without a response. */
  down: z.boolean().optional(),
  /** Accepts calls and never responds. */
  hang: z.boolean().optional(),
  slowMs: z.number().nonnegative().optional(),
  /** Applies this many of the next writes whose key starts with `lostPrefix` without a response. */
  loseWriteAnswers: z.int().nonnegative().optional(),
  lostPrefix: z.string().optional(),
  /** Delays the effect of writes whose response is lost. */
  lostEffectDelayMs: z.number().nonnegative().optional(),
  hostListLagMs: z.number().nonnegative().optional(),
});

/** Current fault switches. */
export interface PlatformFaults {
  down: boolean;
  hang: boolean;
  slowMs: number;
  loseWriteAnswers: number;
  lostPrefix: string;
  lostEffectDelayMs: number;
  hostListLagMs: number;
}

/** No faults except the normal lag of the host list. */
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
