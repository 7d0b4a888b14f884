import { z } from 'zod';

/** A line of an engine's cache stream: all cached blocks, or a change of them. */
export const cacheLineSchema = z.union([
  z.object({ sequence: z.number(), all: z.array(z.string()) }),
  z.object({
    sequence: z.number(),
    added: z.array(z.string()),
    removed: z.array(z.string()),
  }),
]);
