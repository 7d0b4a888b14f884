import { z } from 'zod';

/** A host as its peers know it. */
export const memberSchema = z.object({
  host: z.string(),
  incarnation: z.string(),
  zone: z.string(),
  /** Where it takes peer connections, `ws://ADDRESS:PORT`. */
  peerUrl: z.string(),
  /** Where it takes callers, `http://ADDRESS:PORT`. */
  callerUrl: z.string(),
});

/** A host as its peers know it. */
export type Member = Readonly<z.infer<typeof memberSchema>>;

/** A member and the newest of its heartbeats that somebody has heard of. */
export const gossipSchema = z.object({ member: memberSchema, beat: z.int().nonnegative() });

/** What one host passes on about another. */
export type MemberGossip = Readonly<z.infer<typeof gossipSchema>>;

/** The first message on a connection. */
export const helloSchema = z.object({ self: gossipSchema, others: z.array(gossipSchema) });

/** Sent to each linked peer, with news about a few other members in turn. */
export const heartbeatSchema = z.object({
  beat: z.int().nonnegative(),
  news: z.array(gossipSchema),
});

/** Any later message: a kind, and a body that the kind's handler checks. */
export const envelopeSchema = z.object({ kind: z.string(), body: z.unknown() });
