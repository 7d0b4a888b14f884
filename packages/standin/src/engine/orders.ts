import type { Clock, Milliseconds } from '@poppypond/core';
import { z } from 'zod';

/** An order to an engine: what to change, and the fencing token of who says so. */
export const fencedCommandSchema = z.object({
  scope: z.string().min(1),
  fence: z.int().nonnegative(),
  /** From receipt; an order that is read later is void. */
  expiresInMs: z.number().positive(),
  order: z.discriminatedUnion('kind', [
    z.object({
      kind: z.literal('load-model'),
      model: z.string(),
      version: z.string(),
      adapters: z.array(z.string()),
    }),
    z.object({ kind: z.literal('unload-model'), model: z.string(), version: z.string() }),
    z.object({ kind: z.literal('set-role'), role: z.enum(['any', 'long', 'short']) }),
    z.object({ kind: z.literal('leave'), leaving: z.boolean() }),
  ]),
});

/** A checked order. */
export type FencedCommand = z.infer<typeof fencedCommandSchema>;

/** An order that was followed, for the ground truth. */
export interface FollowedCommand {
  readonly atMs: Milliseconds;
  readonly order: FencedCommand;
}

/** Decides which orders are followed. */
export class CommandGate {
  readonly #highest = new Map<string, number>();
  readonly followed: FollowedCommand[] = [];

  constructor(
    readonly checksFencing: boolean,
    readonly clock: Clock,
  ) {}

  /** Whether the order is to be followed; the highest token seen for the scope is kept. */
  accept(order: FencedCommand): boolean {
    const highest = this.#highest.get(order.scope) ?? 0;
    if (this.checksFencing && order.fence < highest) return false;
    this.#highest.set(order.scope, Math.max(highest, order.fence));
    this.followed.push({ atMs: this.clock.wallMs(), order });
    return true;
  }
}
