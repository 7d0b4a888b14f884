import { z } from 'zod';

/** A host as its peers know it. */
export const memberSchema = z.object({
  host: z.string(),
  incarnation: z.string(),
  zone: z.string(),
  /** Address for connections of peers, `ws://ADDRESS:PORT`. */
  peerUrl: z.string(),
  /** Address for callers, `http://ADDRESS:PORT`. */
  callerUrl: z.string(),
});

/** A host as its peers know it. */
export type Member = Readonly<z.infer<typeof memberSchema>>;

/** A member and the number of its newest known heartbeat. */
export const gossipSchema = z.object({ member: memberSchema, beat: z.int().nonnegative() });

/** An entry that one host forwards about another. */
export type MemberGossip = Readonly<z.infer<typeof gossipSchema>>;

/** The first message on a link: the sender and all members that it knows. */
export const helloSchema = z.object({ self: gossipSchema, others: z.array(gossipSchema) });

/**
 * Sent to each linked peer in each heartbeat period, with gossip about a few other members in
 * rotation.
 */
export const heartbeatSchema = z.object({
  beat: z.int().nonnegative(),
  news: z.array(gossipSchema),
});

/** Any later message: a kind, and a body that the handler of the kind validates. */
export const envelopeSchema = z.object({ kind: z.string(), body: z.unknown() });
