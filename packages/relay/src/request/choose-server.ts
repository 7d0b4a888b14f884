import { placeCall } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import { without } from '../planning/plan-engines.js';
import type { RelayParts } from './relay-parts.js';

/** Picks a server of a plain service; those that failed this request come last. */
export function choosePlainServer(
  parts: RelayParts,
  service: string,
  failedIds: ReadonlySet<string>,
): BackendServer | undefined {
  const nowMs = parts.clock.monotonicMs();
  const candidates = without(parts.servers.available(service), failedIds).map((server) => ({
    server,
    outstanding: parts.fleet.writersOn(server.id),
    avoidedMs: parts.fleet.suspicions.leftMs(server.id, nowMs),
  }));
  return placeCall(candidates, parts.draw())?.server;
}
