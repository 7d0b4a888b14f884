import { z } from 'zod';

/** A line of an engine's load feed. */
export const loadReportSchema = z.object({
  sequence: z.number(),
  seen: z.number(),
  running: z.number(),
  decoding: z.number(),
  waiting: z.number(),
  prefillByPriority: z.array(z.number()),
  heldTokens: z.number(),
  kvTokens: z.number(),
  role: z.enum(['any', 'long', 'short']),
  isLeaving: z.boolean(),
  models: z.record(z.string(), z.string()),
});

/** A line of an engine's cache feed. */
export const cacheLineSchema = z.union([
  z.object({ sequence: z.number(), all: z.array(z.string()) }),
  z.object({
    sequence: z.number(),
    added: z.array(z.string()),
    removed: z.array(z.string()),
  }),
]);
