import { PLACEMENT_RULES } from '@poppypond/fleet';
import { z } from 'zod';

const MAX_PORT = 65_535;
/** A backend server as it is told to peers. */
export const serverSchema = z.tuple([
  z.string().min(1).describe('id'),
  z.string().min(1).describe('service'),
  z.string().min(1).describe('address'),
  z.int().min(1).max(MAX_PORT).describe('port'),
  z.string().describe('availability zone'),
  z.int().positive().describe('slots'),
  z.boolean().describe('is draining'),
  z.int().nullable().describe('Unix time of its birth'),
]);
/** What a server said last of the requests a second that it takes from all hosts. */
export const limitSchema = z.tuple([
  serverSchema,
  z.number().min(0).describe('requests a second'),
  z.boolean().describe('is over'),
  z.number().min(0).describe('said ago'),
]);

/** What a host asks of a planner: durations in place of instants of the sender's clock. */
export const planRequestSchema = z.object({
  attempt: z.string(),
  request: z.string(),
  service: z.string(),
  workspace: z.string(),
  priority: z.number(),
  promptTokens: z.number(),
  answerTokens: z.number(),
  aimMs: z.number(),
  gapAimMs: z.number(),
  /** Time since the request came. */
  waitedMs: z.number(),
  silentMs: z.number(),
  /** Time until its caller's limit. */
  leftMs: z.number(),
  isRepeated: z.boolean(),
  avoidedIds: z.array(z.string()),
  /** A release before this one knows of none, and names them among those that are avoided. */
  excludedIds: z.array(z.string()).default([]),
  /** How long it may wait for a place where all servers name limits. */
  waitsForLimitMs: z.number().optional(),
  content: z.string().optional(),
  permit: z.object({ serverIds: z.array(z.string()), isSent: z.boolean() }).optional(),
  /** Limits of servers of the service, as the host knows them. */
  limits: z.array(limitSchema).default([]),
});

const ruleSchema = z.enum(PLACEMENT_RULES);

/** What a planner answers. */
export const planAnswerSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('place'),
    stream: z.object({
      rule: ruleSchema,
      writerId: z.string(),
      readerIds: z.array(z.string()),
      partMs: z.number(),
      shares: z.array(z.object({ engineId: z.string(), tokens: z.number() })),
      expectedFirstMs: z.number(),
      writersBefore: z.number(),
      readingBeforeMs: z.number(),
      /** A release before this one knows of no limits. */
      permittedIds: z.array(z.string()).default([]),
    }),
  }),
  z.object({ kind: z.literal('wait'), rule: ruleSchema }),
  z.object({
    kind: z.literal('refuse'),
    rule: ruleSchema,
    retryAfterMs: z.number().optional(),
    detail: z.string().optional(),
  }),
]);

/** A backend server on its way. */
export type WireServer = z.infer<typeof serverSchema>;
/** What a server said of a limit, on its way. */
export type WireLimit = z.infer<typeof limitSchema>;
/** A planner's answer on its way. */
export type WirePlanAnswer = z.infer<typeof planAnswerSchema>;
/** A question to a planner on its way. */
export type WirePlanRequest = z.infer<typeof planRequestSchema>;
