import { pack } from 'msgpackr';
import { z } from 'zod';
import { decodeAs } from './byte-encoding.js';
import { planAnswerSchema, planRequestSchema, limitSchema, serverSchema } from './plan-messages.js';

/** An attempt as it is told to peers: durations in place of instants of the sender's clock. */
const attemptUseSchema = z.tuple([
  z.string().describe('attempt'),
  z.string().describe('writer'),
  z.array(z.string()).describe('readers'),
  z.number().describe('reading time on each engine'),
  z.number().describe('context tokens'),
  z.number().describe('allowed pause'),
  z.boolean().describe('is still reading'),
  z.number().describe('placed ago'),
  z.number().describe('dropped in'),
  z.array(z.tuple([z.string(), z.number()])).describe('memory held, by engine'),
]);

const senderShape = {
  host: z.string(),
  /** New with each start of the process. */
  incarnation: z.string(),
  port: z.number(),
};

const terminationSchema = z.tuple([
  z.string().min(1).describe('server'),
  z.string().min(1).describe('host that found it'),
  z.number().min(0).describe('ago'),
]);
const MAX_REPORTED_TERMINATIONS = 3;
/** A request under which servers ended: durations in place of instants of the sender's clock. */
const quarantineEntrySchema = z.tuple([
  z.string().min(1).describe('content'),
  z.int().min(0).describe('round'),
  z.int().min(0).describe('ends'),
  z.number().min(0).describe('held for'),
  z.number().min(0).describe('changed ago'),
  z.array(terminationSchema).max(MAX_REPORTED_TERMINATIONS).describe('last ends'),
]);

/** Sent every half second and as an answer to a new peer; holds all that the sender runs. */
const heartbeatSchema = z.object({
  kind: z.literal('beat'),
  ...senderShape,
  /** The sender's clock. */
  sentAtMs: z.number(),
  /** The last beat that the sender got from the receiver: whose life sent it, and its `sentAtMs`. */
  echo: z.object({ incarnation: z.string(), sentAtMs: z.number() }).nullable(),
  /** Whether the sender's way to the store is broken. */
  isStoreLost: z.boolean(),
  /** Whether the receiver is asked to answer at once with a beat of its own. */
  isQuestion: z.boolean(),
  configurationVersion: z.number(),
  configurationAgeMs: z.number().nullable(),
  /** Stands for the list of backend servers as the sender knows it. */
  listDigest: z.string(),
  listVersion: z.number(),
  listAgeMs: z.number().nullable(),
  availabilityZone: z.string(),
  /** Processor that the sender has, in cores of the usual speed; large hosts plan first. */
  capacity: z.number(),
  /** How many hosts the sender knows, itself included. */
  memberCount: z.number(),
  /** Whether the sender knows the configuration and the servers, without which nobody can plan. */
  canPlan: z.boolean(),
  /** All that the sender runs; null where the receiver need not know. */
  uses: z.array(attemptUseSchema).nullable(),
  /** Some of the requests that the sender knows to have ended servers; a release before this says nothing of it. */
  quarantine: z.array(quarantineEntrySchema).default([]),
  /** Some of the limits that servers name; a release before this says nothing of it. */
  limits: z.array(limitSchema).default([]),
});

/** Sent to planners when an attempt begins. */
const beginSchema = z.object({
  kind: z.literal('begin'),
  ...senderShape,
  use: attemptUseSchema,
});
/** Sent to the planner of a service. */
const planRequestMessageSchema = z.object({
  kind: z.literal('ask'),
  ...senderShape,
  ask: planRequestSchema,
});
/** Sent by a planner to the host that asked. */
const planAnswerMessageSchema = z.object({
  kind: z.literal('plan'),
  ...senderShape,
  attempt: z.string(),
  answer: planAnswerSchema,
});
/** Sent to a planner when a request won't run by its plan. */
const withdrawSchema = z.object({
  kind: z.literal('withdraw'),
  ...senderShape,
  attempt: z.string(),
});
/** Sent to planners when the first event of a long read has come, and when an attempt has ended. */
const attemptProgressSchema = z.object({
  kind: z.enum(['read', 'end']),
  ...senderShape,
  attempt: z.string(),
});
/** Sent when a server was found silent or unreachable. */
const suspectSchema = z.object({
  kind: z.literal('suspect'),
  ...senderShape,
  server: z.string(),
  forMs: z.number(),
});
/** Backend servers as they are told to peers; one that can't be used does not spoil the others. */
export const serversSchema = z.array(z.unknown()).transform((rows) =>
  rows.flatMap((row) => {
    const server = serverSchema.safeParse(row);
    return server.success ? [server.data] : [];
  }),
);
/** Sent when another server was found at the address of a listed one. */
const serverGoneSchema = z.object({
  kind: z.literal('gone'),
  ...senderShape,
  server: serverSchema,
});

const bytesSchema = z.custom<Uint8Array>((value) => value instanceof Uint8Array);

/**
 * One piece of the configuration or of the list of servers, compressed. Sent by a host that reads
 * the store when it has changed, and to whoever wants it.
 */
const stateFragmentSchema = z.object({
  kind: z.literal('told'),
  ...senderShape,
  subject: z.enum(['configuration', 'list']),
  version: z.number(),
  index: z.number(),
  count: z.number(),
  bytes: bytesSchema,
  /** Whether the receiver passes it on within its availability zone. */
  passOn: z.boolean(),
});
/** What has changed in the list of servers, sent in place of the whole. */
const listDeltaSchema = z.object({
  kind: z.literal('list_change'),
  ...senderShape,
  /** Stands for the list that is changed. */
  fromDigest: z.string(),
  /** Stands for the changed list. */
  digest: z.string(),
  version: z.number(),
  graceMs: z.number(),
  /** Servers that came or of which anything changed. */
  servers: serversSchema,
  goneIds: z.array(z.string()),
  passOn: z.boolean(),
});
/** Asks a peer that knows more for the whole of it. */
const stateRequestSchema = z.object({
  kind: z.literal('want'),
  ...senderShape,
  configurationVersion: z.number(),
  listDigest: z.string(),
  listVersion: z.number(),
});
/** Hosts that have come lately, told to all that may not have heard of them. */
const membersSchema = z.object({
  kind: z.literal('members'),
  ...senderShape,
  members: z.array(
    z.tuple([
      z.string().describe('host'),
      z.string().describe('address'),
      z.number().describe('port'),
      z.string().describe('availability zone'),
      z.number().describe('capacity'),
    ]),
  ),
});
/** Sent when a server has ended under a request, or one was served under which servers had ended. */
const quarantineMessageSchema = z.object({
  kind: z.literal('quarantine'),
  ...senderShape,
  entries: z.array(quarantineEntrySchema),
  /** Whether the receiver passes on what is news to it within its availability zone. */
  passOn: z.boolean(),
});
/** Sent when a server has said that it leaves. */
const serverLeavingSchema = z.object({
  kind: z.literal('leaving'),
  ...senderShape,
  server: serverSchema,
  /** Time since it said so first. */
  agoMs: z.number().min(0),
  /** Whether the receiver passes on what is news to it within its availability zone. */
  passOn: z.boolean(),
});
/** Sent when servers name limits, change them or name them no more. */
const limitsMessageSchema = z.object({
  kind: z.literal('limits'),
  ...senderShape,
  limits: z.array(limitSchema),
  /** Whether the receiver passes on what is news to it within its availability zone. */
  passOn: z.boolean(),
});
/** Sent on a planned stop. */
const hostLeavingSchema = z.object({ kind: z.literal('leave'), ...senderShape });

const messageSchema = z.union([
  heartbeatSchema,
  beginSchema,
  planRequestMessageSchema,
  planAnswerMessageSchema,
  withdrawSchema,
  attemptProgressSchema,
  suspectSchema,
  serverGoneSchema,
  stateFragmentSchema,
  listDeltaSchema,
  stateRequestSchema,
  membersSchema,
  quarantineMessageSchema,
  serverLeavingSchema,
  limitsMessageSchema,
  hostLeavingSchema,
]);

/** A message between relays. */
export type PeerMessage = z.infer<typeof messageSchema>;
/** The heartbeat of a relay. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;
/** One piece of what a host tells. */
export type StateFragmentMessage = z.infer<typeof stateFragmentSchema>;
/** A change of the list of servers on its way. */
export type ListDeltaMessage = z.infer<typeof listDeltaSchema>;
/** A question for what its sender does not know. */
export type StateRequestMessage = z.infer<typeof stateRequestSchema>;
/** A host on its way. */
export type WireMember = z.infer<typeof membersSchema>['members'][number];
/** A request under which servers ended, on its way. */
export type WireQuarantineEntry = z.infer<typeof quarantineEntrySchema>;
/** What a host tells of such requests at once. */
export type QuarantineMessage = z.infer<typeof quarantineMessageSchema>;
/** What a host tells of a server that leaves. */
export type ServerLeavingMessage = z.infer<typeof serverLeavingSchema>;
/** What a host tells of limits at once. */
export type LimitsMessage = z.infer<typeof limitsMessageSchema>;
/** An attempt on the way to a peer. */
export type WireAttemptUse = z.infer<typeof attemptUseSchema>;

/** Encodes a message as one datagram. */
export function encodeMessage(message: PeerMessage): Buffer {
  return pack(message);
}

/** Decodes a datagram; undefined if it is none of ours. */
export function decodeMessage(datagram: Buffer): PeerMessage | undefined {
  return decodeAs(messageSchema, datagram);
}
