import type { z } from 'zod';
import type { KnownMember } from './membership.js';
import type { Member } from './messages.js';

/** Messages between hosts. They may be lost or duplicated. */
export interface PeerMessages {
  readonly settings: { readonly self: Member };
  /** Registers the handler for a kind of message; messages with malformed bodies are dropped. */
  on<Schema extends z.ZodType>(
    kind: string,
    schema: Schema,
    handler: (from: Member, body: z.infer<Schema>) => void,
  ): void;
  /** Sends to one host. Returns false if the message cannot be sent now. */
  send(host: string, kind: string, body: unknown): boolean;
  /** Sends to every linked member except `except`. */
  broadcast(kind: string, body: unknown, except?: string): void;
  /** Returns the members with an open link. */
  linked(): readonly Member[];
  members(): readonly KnownMember[];
}
