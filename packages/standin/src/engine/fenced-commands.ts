import type { Clock, Milliseconds } from '@poppypond/core';
import { z } from 'zod';

/** A command to an engine and the fencing token of its sender's lease. */
export const fencedCommandSchema = z.object({
  scope: z.string().min(1),
  fence: z.int().nonnegative(),
  /** Time from receipt after which the command expires. */
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

/** A validated command. */
export type FencedCommand = z.infer<typeof fencedCommandSchema>;

/** A command that was accepted, recorded for the ground truth. */
export interface FollowedCommand {
  readonly atMs: Milliseconds;
  readonly order: FencedCommand;
}

/** Accepts commands, and refuses those with an outdated fencing token if `checksFencing` is set. */
export class CommandGate {
  readonly #highest = new Map<string, number>();
  readonly followed: FollowedCommand[] = [];

  constructor(
    readonly checksFencing: boolean,
    readonly clock: Clock,
  ) {}

  /** Whether the command is to be executed. Keeps the highest fencing token of each scope. */
  accept(order: FencedCommand): boolean {
    const highest = this.#highest.get(order.scope) ?? 0;
    if (this.checksFencing && order.fence < highest) return false;
    this.#highest.set(order.scope, Math.max(highest, order.fence));
    this.followed.push({ atMs: this.clock.wallMs(), order });
    return true;
  }
}
