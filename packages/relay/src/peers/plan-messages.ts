import { COLD_SOURCES, PLACEMENT_RULES } from '@poppypond/fleet';
import { z } from 'zod';

const MAX_PORT = 65_535;
/** Wire form of a backend server. */
export const serverSchema = z.tuple([
  z.string().min(1).describe('id'),
  z.string().min(1).describe('service'),
  z.string().min(1).describe('address'),
  z.int().min(1).max(MAX_PORT).describe('port'),
  z.string().describe('availability zone'),
  z.int().positive().describe('slots'),
  z.boolean().describe('is draining'),
  z.int().nullable().describe('Unix time of its start'),
]);
/** Wire form of the rate limit that a server reported last, which applies to all hosts together. */
export const limitSchema = z.tuple([
  serverSchema,
  z.number().min(0).describe('requests per second'),
  z.boolean().describe('is lifted'),
  z.number().min(0).describe('time since the report'),
]);
/** Wire form of a cold server. */
export const coldServerSchema = z.tuple([
  serverSchema,
  z.number().min(0).describe('remaining time'),
  z.enum(COLD_SOURCES),
]);

/** Wire form of a host's report on the speed of a server. */
export const speedSchema = z.tuple([
  z.string().min(1).describe('server'),
  z.int().nullable().describe('Unix time of its start'),
  z.number().min(1).describe('slowdown'),
  z.number().min(0).describe('time since the newest observation'),
  z.boolean().describe('is relayed'),
]);

/** Wire form of the evacuated availability zones as of one version of the store. */
export const evacuationsSchema = z.object({
  version: z.number(),
  zones: z.array(z.string().min(1)),
  /** Evacuations that were withdrawn recently; omitted if there are none. */
  withdrawn: z
    .array(
      z.tuple([
        z.string().min(1).describe('zone'),
        z.number().describe('version of the store'),
        z.number().min(0).describe('time since a host learned of it, in milliseconds'),
      ]),
    )
    .optional(),
});

/** Wire form of a plan request. Holds durations instead of instants of the sender's clock. */
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
  /** Time since the request arrived. */
  waitedMs: z.number(),
  silentMs: z.number(),
  /** Time until the caller's deadline. */
  leftMs: z.number(),
  isRepeated: z.boolean(),
  avoidedIds: z.array(z.string()),
  /** Earlier releases omit this field, and list these servers in `avoidedIds`. */
  excludedIds: z.array(z.string()).default([]),
  /** Regions whose servers may take it; any region if undefined. */
  allowedRegions: z.array(z.string()).optional(),
  /** How long it may wait for a permit if all servers report rate limits. */
  waitsForLimitMs: z.number().optional(),
  content: z.string().optional(),
  refusedLocally: z.int().min(1).optional(),
  permit: z.object({ serverIds: z.array(z.string()), isSent: z.boolean() }).optional(),
  /** Rate limits of servers of the service that the host knows. */
  limits: z.array(limitSchema).default([]),
  /** Evacuated zones, if they have changed recently: the planner may not know of it yet. */
  evacuations: evacuationsSchema.optional(),
  /** Cold servers of the service that the host knows; omitted if there are none. */
  cold: z.array(coldServerSchema).optional(),
  /** Speeds of servers that have changed recently; omitted if there are none. */
  speeds: z.array(speedSchema).optional(),
  /** Time on the sender's monotonic clock; stated with `cold` and `speeds`. */
  sentAtMs: z.number().optional(),
});

const ruleSchema = z.enum(PLACEMENT_RULES);

/** Wire form of a planner's answer. */
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
      /** Earlier releases know no rate limits, and omit this field. */
      permittedIds: z.array(z.string()).default([]),
      /** Times at the usual speed; omitted by planners that observe no speeds. */
      usual: z
        .object({ firstEventMs: z.number().min(0).optional(), passMs: z.number().min(0) })
        .optional(),
    }),
  }),
  z.object({ kind: z.literal('wait'), rule: ruleSchema }),
  z.object({
    kind: z.literal('refuse'),
    rule: ruleSchema,
    retryAfterMs: z.number().optional(),
    coldCount: z.int().optional(),
    detail: z.string().optional(),
    overload: z
      .object({
        forMs: z.number().min(0),
        retryAfterMs: z.number().min(0),
        exceptContents: z.array(z.string()),
      })
      .optional(),
  }),
]);

/** Refused callers that one heartbeat tells a standby of, over all services. */
export const MAX_WIRE_RETRIES = 256;

const demandsSchema = z.array(
  z.tuple([
    z.number().describe('priority'),
    z.number().min(0).describe('engine milliseconds per second'),
    z.number().min(0).describe('requests per second'),
    z.number().min(0).describe('time since the last request'),
  ]),
);

/**
 * Wire form of the admission state of one service with admission control, for the standby
 * planner.
 */
export const admissionSchema = z.object({
  service: z.string().min(1),
  demands: demandsSchema,
  /** Demand of requests that are limited to regions; omitted if there is none. */
  limitedDemands: z
    .array(z.object({ regions: z.array(z.string()), demands: demandsSchema }))
    .optional(),
  grants: z.array(
    z.tuple([z.string().describe('workspace'), z.number().min(0).describe('engine ms per second')]),
  ),
  /** Refused callers that are expected again; omitted if there are none. */
  retries: z
    .array(
      z.tuple([
        z.number().describe('priority'),
        z.string().min(1).describe('content'),
        z.number().describe('time until it is due, negative if that has passed'),
      ]),
    )
    .max(MAX_WIRE_RETRIES)
    .optional(),
});

/** Wire form of a refused caller that is expected again. */
export type WireRetry = NonNullable<WireAdmission['retries']>[number];
/** Wire form of a service's admission state. */
export type WireAdmission = z.infer<typeof admissionSchema>;
/** Wire form of a backend server. */
export type WireServer = z.infer<typeof serverSchema>;
/** Wire form of a server's rate limit. */
export type WireLimit = z.infer<typeof limitSchema>;
/** Wire form of the evacuated availability zones. */
export type WireEvacuations = z.infer<typeof evacuationsSchema>;
/** Wire form of a cold server. */
export type WireColdServer = z.infer<typeof coldServerSchema>;
/** Wire form of a report on the speed of a server. */
export type WireSpeed = z.infer<typeof speedSchema>;
/** Wire form of a planner's answer. */
export type WirePlanAnswer = z.infer<typeof planAnswerSchema>;
/** Wire form of a plan request. */
export type WirePlanRequest = z.infer<typeof planRequestSchema>;
