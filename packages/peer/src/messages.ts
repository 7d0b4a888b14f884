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

/** The first message on a connection. */
export const helloSchema = z.object({ self: memberSchema, others: z.array(memberSchema) });

/** Any later message: a kind, and a body that the kind's handler checks. */
export const envelopeSchema = z.object({ kind: z.string(), body: z.unknown() });
