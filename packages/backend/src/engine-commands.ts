import type { Milliseconds } from '@poppypond/core';
import { callHttp } from '@poppypond/web';

/** A command to an engine. */
export type EngineCommand =
  | {
      readonly kind: 'load-model';
      readonly model: string;
      readonly version: string;
      readonly adapters: readonly string[];
    }
  | { readonly kind: 'unload-model'; readonly model: string; readonly version: string }
  | { readonly kind: 'set-role'; readonly role: 'any' | 'long' | 'short' };

/** A command that is sent under a lease. */
export interface FencedCommand {
  readonly scope: string;
  /** The fencing token of the lease. */
  readonly fence: number;
  /** Time after which the command is no longer valid. */
  readonly expiresInMs: Milliseconds;
  readonly order: EngineCommand;
}

/**
 * `followed`: the engine has executed the command. `older_fence`: a newer holder of the lease has
 * sent a command since. `unknown`: the engine may have executed the command.
 */
export type CommandResult = 'followed' | 'failed' | 'older_fence' | 'not_sent' | 'unknown';

const OK = 200;
const CONFLICT = 409;

/** Sends a command to an engine. */
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
