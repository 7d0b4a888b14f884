import type { Milliseconds } from '@poppypond/core';
import type { BackendServer } from './backend-server.js';
import type { ColdServers } from './cold-servers.js';
import type { ServerLimits } from './server-limits.js';

/** How many requests per second all hosts together may send to each server. */
export interface RateLimits {
  /** Number of servers that have a rate limit or had one recently; 0 if no server is limited. */
  readonly size: number;
  /** Requests per second that all hosts together may send; undefined if there is no limit. */
  rateOf(server: BackendServer, nowMs: Milliseconds): number | undefined;
  /** Whether a server's request rate is limited now. */
  isLimited(server: BackendServer, nowMs: Milliseconds): boolean;
  /** Whether a server is limited or was recently, so that some hosts may consider it limited. */
  mayBeLimited(server: BackendServer): boolean;
  /** Whether a server is cold, so that others are preferred. */
  isCold(server: BackendServer, nowMs: Milliseconds): boolean;
}

/** The lower of the limit that a server reports and the rate that it sustains while it is cold. */
export class CombinedRateLimits implements RateLimits {
  constructor(
    readonly reported: ServerLimits,
    readonly cold: ColdServers,
  ) {}

  get size(): number {
    return this.reported.size + this.cold.size;
  }

  rateOf(server: BackendServer, nowMs: Milliseconds): number | undefined {
    const reported = this.reported.rateOf(server, nowMs);
    const cold = this.cold.rateOf(server, nowMs);
    if (reported === undefined || cold === undefined) return reported ?? cold;
    return Math.min(reported, cold);
  }

  isLimited(server: BackendServer, nowMs: Milliseconds): boolean {
    return this.rateOf(server, nowMs) !== undefined;
  }

  mayBeLimited(server: BackendServer): boolean {
    return this.reported.mayBeLimited(server) || this.cold.has(server);
  }

  isCold(server: BackendServer, nowMs: Milliseconds): boolean {
    return this.cold.isCold(server, nowMs);
  }
}
