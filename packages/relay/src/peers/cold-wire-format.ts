import type { Milliseconds } from '@poppypond/core';
import type { ColdServer } from '@poppypond/fleet';
import { fromWireServer, toWireServer } from './server-wire-format.js';
import type { WireColdServer } from './plan-messages.js';

/** Converts a cold server to its wire form as of `nowMs`. */
export function toWireColdServer(
  { server, untilMs, source }: ColdServer,
  nowMs: Milliseconds,
): WireColdServer {
  return [toWireServer(server), Math.max(0, Math.round(untilMs - nowMs)), source];
}

/** Converts a cold server from its wire form, as it was sent at `sentAtMs` on this process's clock. */
export function fromWireColdServer(
  [server, leftMs, source]: WireColdServer,
  sentAtMs: Milliseconds,
): Omit<ColdServer, 'changedAtMs'> {
  return { server: fromWireServer(server), untilMs: sentAtMs + leftMs, source };
}
