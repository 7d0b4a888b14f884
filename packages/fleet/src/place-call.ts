import type { Milliseconds } from '@poppypond/core';
import type { BackendServer } from './backend-server.js';

/** A server of a plain service as a candidate for a call. */
export interface CallCandidate {
  readonly server: BackendServer;
  /** Calls of this host that the server has not answered yet. */
  readonly outstanding: number;
  /** Remaining time for which the server is avoided after a failure; 0 if it is not. */
  readonly avoidedMs: Milliseconds;
  /** Time that the server takes, relative to others; 1 unless it is slow. */
  readonly slowdown: number;
}

/** Expected time until the server has answered one more call, in usual calls. */
function expectedCalls({ outstanding, slowdown }: CallCandidate): number {
  return (outstanding + 1) * slowdown;
}

/**
 * Returns the server with the fewest outstanding calls, weighted by its slowdown; ties are broken by
 * `random`, a uniform number in [0, 1). Servers that are avoided are chosen only if there is no other. Returns
 * undefined if there are no candidates.
 */
export function placeCall(
  candidates: readonly CallCandidate[],
  random: number,
): CallCandidate | undefined {
  const trusted = candidates.filter((candidate) => candidate.avoidedMs === 0);
  const usable = trusted.length > 0 ? trusted : candidates;
  const least = Math.min(...usable.map(expectedCalls));
  const best = usable.filter((candidate) => expectedCalls(candidate) === least);
  return best[Math.floor(random * best.length)];
}
