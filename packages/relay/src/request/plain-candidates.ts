import type { Milliseconds } from '@poppypond/core';
import { trustedCandidates } from '@poppypond/fleet';
import type { BackendServer, CallCandidate, FleetView } from '@poppypond/fleet';

function candidateOf(fleet: FleetView, server: BackendServer, nowMs: Milliseconds): CallCandidate {
  const { id } = server;
  const outstanding = fleet.writersOn(id);
  const avoidedMs = fleet.avoidance.leftMs(id, () => outstanding, nowMs);
  return { server, outstanding, avoidedMs, slowdown: fleet.speeds.slowdownOf(server, nowMs) };
}

/**
 * Returns the candidates for a call among `servers` of a plain service. Without `avoidance` all,
 * with the time for which each is avoided; with it those that are trusted, of which none counts as
 * avoided.
 */
export function plainCandidates(
  fleet: FleetView,
  servers: readonly BackendServer[],
  nowMs: Milliseconds,
): readonly CallCandidate[] {
  const candidates = servers.map((server) => candidateOf(fleet, server, nowMs));
  return fleet.avoidance.isEnabled ? trustedCandidates(candidates) : candidates;
}
