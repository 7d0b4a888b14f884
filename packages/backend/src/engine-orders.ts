import type { Milliseconds } from '@poppypond/core';
import { callHttp } from '@poppypond/web';

/** What an engine is told to do. */
export type EngineCommand =
  | {
      readonly kind: 'load-model';
      readonly model: string;
      readonly version: string;
      readonly adapters: readonly string[];
    }
  | { readonly kind: 'unload-model'; readonly model: string; readonly version: string }
  | { readonly kind: 'set-role'; readonly role: 'any' | 'long' | 'short' };

/** An order under a lease. */
export interface FencedCommand {
  readonly scope: string;
  /** The lease's fencing token. */
  readonly fence: number;
  /** After this the order is void. */
  readonly expiresInMs: Milliseconds;
  readonly order: EngineCommand;
}

/** `older_fence`: another holder has ordered since. `unknown`: it may have been followed. */
export type CommandResult = 'followed' | 'failed' | 'older_fence' | 'not_sent' | 'unknown';

const OK = 200;
const CONFLICT = 409;

/** Sends an order to an engine. */
export async function sendEngineCommand(
  engineUrl: string,
  order: FencedCommand,
): Promise<CommandResult> {
  const reply = await callHttp({
    method: 'POST',
    url: `${engineUrl}/orders`,
    body: JSON.stringify(order),
    timeoutMs: order.expiresInMs,
  });
  if (reply.isErr) return reply.error.mayHaveArrived ? 'unknown' : 'not_sent';
  if (reply.value.status === OK) return 'followed';
  return reply.value.status === CONFLICT ? 'older_fence' : 'failed';
}
