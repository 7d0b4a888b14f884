import type { Milliseconds } from '@poppypond/core';
import type { BackendServer } from './backend-server.js';

/** A server of a plain service and what is believed about it. */
export interface CallCandidate {
  readonly server: BackendServer;
  /** Calls of this host that it has not answered. */
  readonly outstanding: number;
  /** How long it is avoided still; 0 where it is not. */
  readonly avoidedMs: Milliseconds;
}

/** The least busy server; of equals the one that `draw`, a random number in [0, 1), points at. */
export function placeCall(
  candidates: readonly CallCandidate[],
  draw: number,
): CallCandidate | undefined {
  const trusted = candidates.filter((candidate) => candidate.avoidedMs === 0);
  const usable = trusted.length > 0 ? trusted : candidates;
  const least = Math.min(...usable.map((candidate) => candidate.outstanding));
  const best = usable.filter((candidate) => candidate.outstanding === least);
  return best[Math.floor(draw * best.length)];
}
