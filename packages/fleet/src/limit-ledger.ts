import type { Milliseconds } from '@poppypond/core';
import { isSameIncarnation } from './backend-server.js';
import type { BackendServer } from './backend-server.js';
import type { ServerLimits } from './server-limits.js';

/**
 * As what a host gives out places of limits: as the first in rank, in place of one that is silent, or for itself as
 * it hears nobody who could.
 */
export type LimitRole = (typeof LIMIT_ROLES)[number];

const LIMIT_ROLES = ['first', 'stand_in', 'alone'] as const;

/** What a host may give out of each limit. */
export interface LimitPart {
  readonly role: LimitRole;
  /** Share of the limit. */
  readonly share: number;
}

interface Bucket {
  readonly server: BackendServer;
  /** Places that may be given; under 0 where some were used that could not be asked for. */
  permits: number;
  atMs: Milliseconds;
  /** When places were given lately, for those who want to know what was used. */
  grantTimes: Milliseconds[];
}

const MS_PER_SECOND = 1000;
/** One place is saved up, and what comes in for so long, so that a place that is taken a little late is not lost. */
const BURST_MS: Milliseconds = 250;
/** A host that gives for others only now and then begins with nothing each time. */
const BUCKET_EXPIRY_MS: Milliseconds = 3000;
const RECENT_GRANTS_MS: Milliseconds = 4000;

/**
 * Counts the requests that servers with a limit get from all hosts, at the one host that gives out the places for them.
 * Shares that each host would keep for itself don't do: of two a second, 330 hosts have one in three minutes each, and
 * sixty that each save up one send sixty at once. Begins with nothing, as what was given before is not known.
 */
export class PermitBuckets {
  readonly #buckets = new Map<string, Bucket>();

  constructor(readonly limits: ServerLimits) {}

  /** Requests that may be sent to a server now; infinite where it names no limit. */
  availablePermits(server: BackendServer, part: LimitPart, nowMs: Milliseconds): number {
    const rate = this.rateOf(server, part, nowMs);
    if (rate === undefined) return Number.POSITIVE_INFINITY;
    return Math.max(0, Math.floor(this.#refill(server, part, rate, nowMs).permits));
  }

  /** Gives a place, or counts one that was used without being asked for. */
  grant(server: BackendServer, part: LimitPart, nowMs: Milliseconds): void {
    const rate = this.rateOf(server, part, nowMs);
    if (rate === undefined) return;
    const bucket = this.#refill(server, part, rate, nowMs);
    bucket.permits -= 1;
    bucket.grantTimes = [
      ...bucket.grantTimes.filter((atMs) => nowMs - atMs < RECENT_GRANTS_MS),
      nowMs,
    ];
  }

  /** How long until a place is there; infinite where none is to come. */
  nextPermitInMs(server: BackendServer, part: LimitPart, nowMs: Milliseconds): Milliseconds {
    const rate = this.rateOf(server, part, nowMs);
    if (rate === undefined) return 0;
    const missing = 1 - this.#refill(server, part, rate, nowMs).permits;
    return missing <= 0 ? 0 : (missing / rate) * MS_PER_SECOND;
  }

  /** The places a second that this host gives for a server; undefined where it names no limit. */
  rateOf(server: BackendServer, { share }: LimitPart, nowMs: Milliseconds): number | undefined {
    const rate = this.limits.rateOf(server, nowMs);
    return rate === undefined ? undefined : rate * share;
  }

  /** Places of a server that were given in the last 4 s, in whatever role. */
  recentlyGranted(server: BackendServer, nowMs: Milliseconds): number {
    const given = LIMIT_ROLES.flatMap((role) => {
      return this.#buckets.get(`${role} ${server.id}`)?.grantTimes ?? [];
    });
    return given.filter((atMs) => nowMs - atMs < RECENT_GRANTS_MS).length;
  }

  #refill(server: BackendServer, { role }: LimitPart, rate: number, nowMs: Milliseconds): Bucket {
    const key = `${role} ${server.id}`;
    const known = this.#buckets.get(key);
    const isKept =
      known !== undefined &&
      isSameIncarnation(known.server, server) &&
      (role === 'first' || nowMs - known.atMs < BUCKET_EXPIRY_MS);
    if (!isKept) return this.#createBucket(key, server, nowMs);
    const most = 1 + (rate * BURST_MS) / MS_PER_SECOND;
    known.permits = Math.min(most, known.permits + (rate * (nowMs - known.atMs)) / MS_PER_SECOND);
    known.atMs = nowMs;
    return known;
  }

  #createBucket(key: string, server: BackendServer, nowMs: Milliseconds): Bucket {
    for (const [other, { server: counted }] of this.#buckets) {
      if (!this.limits.find(counted)) this.#buckets.delete(other);
    }
    const bucket = { server, permits: 0, atMs: nowMs, grantTimes: [] };
    this.#buckets.set(key, bucket);
    return bucket;
  }
}
