import { pack } from 'msgpackr';
import { z } from 'zod';
import { decodeAs } from './byte-encoding.js';
import {
  evacuationsSchema,
  coldServerSchema,
  admissionSchema,
  planAnswerSchema,
  planRequestSchema,
  limitSchema,
  serverSchema,
  speedSchema,
} from './plan-messages.js';

/** Wire form of an attempt. Holds durations instead of instants of the sender's clock. */
const attemptUseSchema = z.tuple([
  z.string().describe('attempt'),
  z.string().describe('writer'),
  z.array(z.string()).describe('readers'),
  z.number().describe('prefill time on each engine'),
  z.number().describe('context tokens'),
  z.number().describe('target for the gap between events'),
  z.boolean().describe('is in prefill'),
  z.number().describe('time since placement'),
  z.number().describe('time until expiry'),
  z.array(z.tuple([z.string(), z.number()])).describe('reserved memory by engine'),
]);

const senderShape = {
  host: z.string(),
  /** Changes with each start of the process. */
  incarnation: z.string(),
  port: z.number(),
};

const terminationSchema = z.tuple([
  z.string().min(1).describe('server'),
  z.string().min(1).describe('host that detected it'),
  z.number().min(0).describe('time since then'),
]);
const MAX_REPORTED_TERMINATIONS = 3;
/**
 * Wire form of a quarantine entry, for a request during which servers terminated. Holds durations
 * instead of instants of the sender's clock.
 */
const quarantineEntrySchema = z.tuple([
  z.string().min(1).describe('content'),
  z.int().min(0).describe('round'),
  z.int().min(0).describe('ends'),
  z.number().min(0).describe('remaining hold time'),
  z.number().min(0).describe('time since the last change'),
  z.array(terminationSchema).max(MAX_REPORTED_TERMINATIONS).describe('last terminations'),
]);

/** Version of the format of all messages, which each heartbeat carries. */
export const MESSAGE_FORMAT_VERSION = 1;

/** Result of a call to a plain server: server, service, and whether it failed. */
const resultSchema = z.tuple([z.string(), z.string(), z.boolean()]);

/**
 * Heartbeat: sent every half second and as an answer to a new peer; carries all attempts that the
 * sender runs.
 */
const heartbeatSchema = z.object({
  kind: z.literal('beat'),
  ...senderShape,
  /** Version of the message format; an earlier release omits it. */
  formatVersion: z.int().min(0).default(0),
  /** Time on the sender's clock. */
  sentAtMs: z.number(),
  /**
   * The last heartbeat that the sender received from the receiver: its incarnation and `sentAtMs`.
   */
  echo: z.object({ incarnation: z.string(), sentAtMs: z.number() }).nullable(),
  /** Whether the sender can't reach the store. */
  isStoreLost: z.boolean(),
  /** Whether the receiver has to answer at once with a heartbeat of its own. */
  isQuestion: z.boolean(),
  configurationVersion: z.number(),
  configurationAgeMs: z.number().nullable(),
  /** Digest of the list of backend servers that the sender knows. */
  listDigest: z.string(),
  listVersion: z.number(),
  listAgeMs: z.number().nullable(),
  availabilityZone: z.string(),
  /**
   * CPU capacity of the sender, in cores of the reference speed; hosts with more capacity plan
   * first.
   */
  capacity: z.number(),
  /** Number of hosts that the sender knows, itself included. */
  memberCount: z.number(),
  /** Whether the sender has the configuration and the servers, which planning needs. */
  canPlan: z.boolean(),
  /** All attempts that the sender runs; null if the receiver need not know them. */
  uses: z.array(attemptUseSchema).nullable(),
  /**
   * Some of the requests that the sender knows to have terminated servers. Earlier releases omit
   * this field.
   */
  quarantine: z.array(quarantineEntrySchema).default([]),
  /** Some of the rate limits that servers report. Earlier releases omit this field. */
  limits: z.array(limitSchema).default([]),
  /**
   * The evacuated zones that the sender knows. Omitted by hosts that know none or do not follow
   * evacuations, and by earlier releases.
   */
  evacuations: evacuationsSchema.optional(),
  /** Some of the cold servers; omitted if there are none. */
  cold: z.array(coldServerSchema).optional(),
  /** Some of the servers that are or were slow; omitted if all servers are even. */
  speeds: z.array(speedSchema).optional(),
  /** Sent by a planner to its standby, for services whose requests differ in priority. */
  admission: z.array(admissionSchema).optional(),
  /** Some results of calls to plain servers; omitted if none failed. */
  results: z.array(resultSchema).optional(),
  /** Whether the sender has no room for new callers; omitted if it has. */
  isFull: z.boolean().optional(),
  /** Whether the receiver, which is full, may withdraw from the load balancer; omitted if not. */
  mayWithdraw: z.boolean().optional(),
});

/** Sent to planners when an attempt starts. */
const beginSchema = z.object({
  kind: z.literal('begin'),
  ...senderShape,
  use: attemptUseSchema,
});
/** Plan request, sent to a planner of a service. */
const planRequestMessageSchema = z.object({
  kind: z.literal('ask'),
  ...senderShape,
  ask: planRequestSchema,
});
/** Answer to a plan request, sent by the planner. */
const planAnswerMessageSchema = z.object({
  kind: z.literal('plan'),
  ...senderShape,
  attempt: z.string(),
  answer: planAnswerSchema,
});
/** Sent to a planner when an attempt will not run according to its plan. */
const withdrawSchema = z.object({
  kind: z.literal('withdraw'),
  ...senderShape,
  attempt: z.string(),
});
/**
 * Sent to planners when the first event after a long prefill has arrived, and when an attempt has
 * ended.
 */
const attemptProgressSchema = z.object({
  kind: z.enum(['read', 'end']),
  ...senderShape,
  attempt: z.string(),
  /** Whether the engine served it completely; omitted if not, or without `observesServerSpeeds`. */
  isServed: z.boolean().optional(),
});
/** Sent when a server does not respond or can't be reached. */
const suspectSchema = z.object({
  kind: z.literal('suspect'),
  ...senderShape,
  server: z.string(),
  forMs: z.number(),
  /** Whether it is an engine; omitted if not, or without `observesServerSpeeds`. */
  isEngine: z.boolean().optional(),
  /** Whether a served request does not end the suspicion; omitted if it does. */
  isFirm: z.boolean().optional(),
});
/**
 * Wire form of a list of backend servers. Invalid entries are skipped; the others remain usable.
 */
export const serversSchema = z.array(z.unknown()).transform((rows) =>
  rows.flatMap((row) => {
    const server = serverSchema.safeParse(row);
    return server.success ? [server.data] : [];
  }),
);
/** Sent when another server answers at the address of a listed one. */
const serverGoneSchema = z.object({
  kind: z.literal('gone'),
  ...senderShape,
  server: serverSchema,
});

const bytesSchema = z.custom<Uint8Array>((value) => value instanceof Uint8Array);

/**
 * One fragment of the compressed configuration or server list. Sent by a store reader after a
 * change in the store, and in answer to a `want` message.
 */
const stateFragmentSchema = z.object({
  kind: z.literal('told'),
  ...senderShape,
  subject: z.enum(['configuration', 'list']),
  version: z.number(),
  index: z.number(),
  count: z.number(),
  bytes: bytesSchema,
  /** Whether the receiver has to forward it within its availability zone. */
  passOn: z.boolean(),
});
/** Server list delta: the difference between two lists, sent instead of the whole list. */
const listDeltaSchema = z.object({
  kind: z.literal('list_change'),
  ...senderShape,
  /** Digest of the list that the delta is based on. */
  fromDigest: z.string(),
  /** Digest of the resulting list. */
  digest: z.string(),
  version: z.number(),
  graceMs: z.number(),
  /** Servers that were added, or of which any field changed. */
  servers: serversSchema,
  goneIds: z.array(z.string()),
  passOn: z.boolean(),
});
/** Requests the whole configuration or server list from a peer that has a newer one. */
const stateRequestSchema = z.object({
  kind: z.literal('want'),
  ...senderShape,
  configurationVersion: z.number(),
  listDigest: z.string(),
  listVersion: z.number(),
});
/** Announces new hosts to all that may not know them yet. */
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
/**
 * Sent when a server terminated while running a request, or when a request was served during which
 * servers had terminated before.
 */
const quarantineMessageSchema = z.object({
  kind: z.literal('quarantine'),
  ...senderShape,
  entries: z.array(quarantineEntrySchema),
  /** Whether the receiver has to forward what is new to it within its availability zone. */
  passOn: z.boolean(),
});
/** Part of prompts that ran on a server that ended, and the time since its latest run started. */
const startedPartSchema = z.tuple([z.string().min(1), z.number().min(0)]);
/** Twice what this release sends. */
const MAX_RECEIVED_PARTS = 64;
/** Wire form of runs that ended with their server. */
const terminatedRunsSchema = z.tuple([
  z.string().min(1).describe('incarnation'),
  z.string().min(1).describe('server'),
  z.string().min(1).describe('host that noticed it'),
  z.number().min(0).describe('time since the end'),
  z.boolean().describe('whether that time is when connections broke'),
  z.array(startedPartSchema).max(MAX_RECEIVED_PARTS),
]);
/** Wire form of a part that was in a complete response, and the time since. */
const servedPartSchema = z.tuple([z.string().min(1), z.number().min(0)]);
/**
 * Sent when a server ended during runs with parts that other requests may share, or when a suspect
 * part was served.
 */
const partTerminationsMessageSchema = z.object({
  kind: z.literal('part_terminations'),
  ...senderShape,
  terminated: z.array(terminatedRunsSchema),
  /**
   * For each of `terminated` and each of its parts the id of its only request, empty if there were
   * several. Earlier releases omit this field.
   */
  requests: z.array(z.array(z.string())).optional(),
  served: z.array(servedPartSchema),
  /** Whether the receiver has to forward what is new to it within its availability zone. */
  passOn: z.boolean(),
});
/** Sent when a server has announced that it leaves. */
const serverLeavingSchema = z.object({
  kind: z.literal('leaving'),
  ...senderShape,
  server: serverSchema,
  /** Time since its first announcement. */
  agoMs: z.number().min(0),
  /** Whether the receiver has to forward what is new to it within its availability zone. */
  passOn: z.boolean(),
});
/** Sent when servers report rate limits, change them or no longer report them. */
const limitsMessageSchema = z.object({
  kind: z.literal('limits'),
  ...senderShape,
  limits: z.array(limitSchema),
  /** Whether the receiver has to forward what is new to it within its availability zone. */
  passOn: z.boolean(),
});
/** Sent when the evacuation of a zone is in force or is withdrawn; holds all evacuated zones. */
const evacuationsMessageSchema = z.object({
  kind: z.literal('evacuations'),
  ...senderShape,
  evacuations: evacuationsSchema,
  /** Age of the information: time since the sender's set was confirmed as the newest. */
  ageMs: z.number().min(0).nullable(),
  /** Whether the receiver has to forward it within its availability zone. */
  passOn: z.boolean(),
});
/** Sent when servers have become cold, or stay so for longer. */
const coldServersMessageSchema = z.object({
  kind: z.literal('cold'),
  ...senderShape,
  servers: z.array(coldServerSchema),
  /** Time on the sender's monotonic clock; omitted by earlier releases. */
  sentAtMs: z.number().optional(),
  /** Whether the receiver has to forward what is new to it within its availability zone. */
  passOn: z.boolean(),
});
/** Sent by a host that leaves, on a planned stop of its relay. */
const hostLeavingSchema = z.object({ kind: z.literal('leave'), ...senderShape });

const messageSchema = z.discriminatedUnion('kind', [
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
  partTerminationsMessageSchema,
  serverLeavingSchema,
  limitsMessageSchema,
  evacuationsMessageSchema,
  coldServersMessageSchema,
  hostLeavingSchema,
]);

/** Kinds of messages that this release knows. */
const MESSAGE_KINDS: ReadonlySet<string> = new Set(
  messageSchema.options.flatMap(({ shape }) =>
    shape.kind instanceof z.ZodLiteral ? [...shape.kind.values] : shape.kind.options,
  ),
);

/** A message between relays. */
export type PeerMessage = z.infer<typeof messageSchema>;
/** The heartbeat of a relay. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;
/** One fragment of a configuration or server list. */
export type StateFragmentMessage = z.infer<typeof stateFragmentSchema>;
/** A message with a server list delta. */
export type ListDeltaMessage = z.infer<typeof listDeltaSchema>;
/** A request for a configuration or server list that its sender does not have. */
export type StateRequestMessage = z.infer<typeof stateRequestSchema>;
/** Wire form of a host. */
export type WireMember = z.infer<typeof membersSchema>['members'][number];
/** Wire form of a quarantine entry. */
export type WireQuarantineEntry = z.infer<typeof quarantineEntrySchema>;
/** Wire form of a result of a call: server, service, and whether it failed. */
export type WireResult = z.infer<typeof resultSchema>;
/** A message with quarantine entries. */
export type QuarantineMessage = z.infer<typeof quarantineMessageSchema>;
/** Wire form of runs that ended with their server. */
export type WireTerminatedRuns = z.infer<typeof terminatedRunsSchema>;
/** Wire form of a part that was served. */
export type WireServedPart = z.infer<typeof servedPartSchema>;
/** A message with parts that ran on servers that ended. */
export type PartTerminationsMessage = z.infer<typeof partTerminationsMessageSchema>;
/** A message about a server that leaves. */
export type ServerLeavingMessage = z.infer<typeof serverLeavingSchema>;
/** A message with rate limits of servers. */
export type LimitsMessage = z.infer<typeof limitsMessageSchema>;
/** A message with the evacuated zones. */
export type EvacuationsMessage = z.infer<typeof evacuationsMessageSchema>;
/** A message with cold servers. */
export type ColdServersMessage = z.infer<typeof coldServersMessageSchema>;
/** Wire form of an attempt. */
export type WireAttemptUse = z.infer<typeof attemptUseSchema>;

/** Encodes a message as one datagram. */
export function encodeMessage(message: PeerMessage): Buffer {
  return pack(message);
}

/** Decodes a datagram. Returns undefined if it is not a valid peer message. */
export function decodeMessage(datagram: Buffer): PeerMessage | undefined {
  return decodeAs(messageSchema, datagram);
}

/** Why a datagram is not a valid peer message, and its kind if that can be read. */
export interface UnreadableMessage {
  readonly reason: 'not_message_pack' | 'unknown_kind' | 'invalid_fields';
  readonly kind: string;
}

const headSchema = z.object({ kind: z.string() });
/** The kind of an unreadable message is text of another program. */
const MAX_KIND_LENGTH = 32;

/** Finds out why `decodeMessage` returns undefined for a datagram. */
export function explainUnreadable(datagram: Buffer): UnreadableMessage {
  const head = decodeAs(headSchema, datagram);
  if (!head) return { reason: 'not_message_pack', kind: 'unknown' };
  const isKnown = MESSAGE_KINDS.has(head.kind);
  const kind = head.kind.slice(0, MAX_KIND_LENGTH);
  return { reason: isKnown ? 'invalid_fields' : 'unknown_kind', kind };
}
