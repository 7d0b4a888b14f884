import { labelsSchema } from '@poppypond/objects';
import { z } from 'zod';

/** Schema of a candidate that was considered and not chosen, with the reason. */
export const rejectedCandidateSchema = z.object({ candidate: z.string(), why: z.string() });

/** Schema of the record of one decision, which can be queried afterwards. */
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
  /** Revision of the active configuration. */
  revision: z.int().nonnegative(),
  /** What was chosen, or the result code. */
  choice: z.string(),
  /** The values that the decision is based on. */
  state: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
  passedOver: z.array(rejectedCandidateSchema),
});

/** The record of one decision. */
export type Decision = z.infer<typeof decisionSchema>;

/** A candidate that was considered and not chosen, with the reason. */
export type RejectedCandidate = z.infer<typeof rejectedCandidateSchema>;
