import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer, FleetView } from '@poppypond/fleet';
import { probeConnection } from '../connections/server-connector.js';
import type { ServerConnector } from '../connections/server-connector.js';
import type { EngineMemory } from '../ports.js';

/** Dependencies of `isSilentServerAtFault`. */
export interface SilentServerParts {
  readonly clock: Clock;
  readonly connector: ServerConnector;
  readonly fleet: FleetView;
  readonly memory: EngineMemory;
}

/** An attempt whose server has been silent for too long. */
export interface SilentAttempt {
  readonly server: BackendServer;
  readonly isEngine: boolean;
  readonly startedAtMs: Milliseconds;
}

/**
 * Whether a server is at fault for a silent attempt: it is unless a new connection to it works. An
 * engine has to answer a status query; a plain server has to accept a connection, and later attempts
 * must not go silent too.
 */
export async function isSilentServerAtFault(
  { clock, connector, fleet, memory }: SilentServerParts,
  { server, isEngine, startedAtMs }: SilentAttempt,
): Promise<boolean> {
  if (isEngine) return (await memory.readStatus(server)) === undefined;
  const { silentConnections } = fleet.avoidance;
  if (silentConnections.record(server.id, startedAtMs, clock.monotonicMs())) return true;
  const found = await probeConnection(connector, server);
  return found !== 'listening' && found !== 'unknown';
}
