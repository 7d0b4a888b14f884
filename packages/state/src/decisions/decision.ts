import { labelsSchema } from '@poppypond/objects';
import { z } from 'zod';

/** Something that was considered and not chosen, and why. */
export const rejectedCandidateSchema = z.object({ candidate: z.string(), why: z.string() });

/** One decision, as it can be asked about afterwards. */
export const decisionSchema = z.object({
  kind: z.enum([
    'admit',
    'refuse',
    'wait',
    'place',
    'retry',
    'finish',
    'load',
    'role',
    'drain',
    'sweep',
  ]),
  host: z.string(),
  wallMs: z.number(),
  requestId: z.string().optional(),
  labels: labelsSchema,
  /** `name@revision` of the rule or object that decided. */
  rule: z.string().optional(),
  /** Revision of the configuration in force. */
  revision: z.int().nonnegative(),
  /** What was chosen, or the result code. */
  choice: z.string(),
  /** The values that were read to decide. */
  state: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
  passedOver: z.array(rejectedCandidateSchema),
});

/** One decision. */
export type Decision = z.infer<typeof decisionSchema>;

/** What was considered and not chosen. */
export type RejectedCandidate = z.infer<typeof rejectedCandidateSchema>;
