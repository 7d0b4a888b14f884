import type { Milliseconds } from '@poppypond/core';
import { isSameIncarnation } from './backend-server.js';
import type { BackendServer } from './backend-server.js';
import type { RateLimits } from './rate-limits.js';
import type { RequestBounds } from './request-bounds.js';

/**
 * The role in which a host grants permits: as the first planner in rank (`first`), as standby of
 * one that is unresponsive (`stand_in`), or only for itself because it reaches no planner
 * (`alone`).
 */
export type LimitRole = (typeof LIMIT_ROLES)[number];

const LIMIT_ROLES = ['first', 'stand_in', 'alone'] as const;

/** The part of each limit that a host may grant. */
export interface LimitPart {
  readonly role: LimitRole;
  /** Share of the limit, from 0 to 1. */
  readonly share: number;
  /** Share of the hosts that this host hears, from 0 to 1; all of them if undefined. */
  readonly heardShare?: number;
}

interface Bucket {
  readonly server: BackendServer;
  /** Permits that may be granted; negative if some were used without being requested. */
  permits: number;
  atMs: Milliseconds;
  /** When permits were granted recently, to report the current usage. */
  grantTimes: Milliseconds[];
}

const MS_PER_SECOND = 1000;
/**
 * A bucket holds one permit plus the refill of this period, so that a permit that is taken a little
 * late is not lost.
 */
const BURST_MS: Milliseconds = 250;
/**
 * A bucket of another role than `first` is discarded if it is unused for this long, so that a
 * standby that is needed only now and then starts empty each time.
 */
const BUCKET_EXPIRY_MS: Milliseconds = 3000;
/** Period for which `recentlyGranted` counts permits. */
const RECENT_GRANTS_MS: Milliseconds = 4000;

/**
 * Token buckets from which one host grants the permits for the requests of all hosts to servers
 * with a rate limit. A separate share per host does not work: of two requests per second, each of
 * 330 hosts would get one in three minutes, and sixty hosts that each save up one would send sixty
 * at once. A bucket starts empty, as earlier grants are unknown.
 */
export class PermitBuckets {
  readonly #buckets = new Map<string, Bucket>();

  /** `bounds`: what servers get at all times, limited or not; unbounded if undefined. */
  constructor(
    readonly limits: RateLimits,
    readonly bounds?: RequestBounds,
  ) {}

  /** Whether permits of a service's servers must be asked for and counted. */
  isActive(service: string): boolean {
    return this.limits.size > 0 || this.isBounded(service);
  }

  /** Whether the servers of a service are bounded at all times. */
  isBounded(service: string): boolean {
    return this.bounds?.isBounded(service) ?? false;
  }

  /**
   * Returns the number of requests that may be sent to a server now; infinite if it has no limit.
   * `uncounted`: requests a second that count against its bound and were not granted.
   */
  availablePermits(
    server: BackendServer,
    part: LimitPart,
    nowMs: Milliseconds,
    uncounted = 0,
  ): number {
    const bound = this.bounds?.left(server, part, nowMs, uncounted) ?? Number.POSITIVE_INFINITY;
    const rate = this.#limitOf(server, part, nowMs);
    if (rate === undefined) return bound;
    const permits = Math.floor(this.#refill(server, part, rate, nowMs).permits);
    return Math.max(0, Math.min(bound, permits));
  }

  /**
   * Grants a permit, or counts one that was used without being requested. `requests`: how many
   * requests count against the bound of the server.
   */
  grant(server: BackendServer, part: LimitPart, nowMs: Milliseconds, requests = 1): void {
    this.bounds?.grant(server, part, nowMs, requests);
    const rate = this.#limitOf(server, part, nowMs);
    if (rate === undefined) return;
    const bucket = this.#refill(server, part, rate, nowMs);
    bucket.permits -= 1;
    bucket.grantTimes = [
      ...bucket.grantTimes.filter((atMs) => nowMs - atMs < RECENT_GRANTS_MS),
      nowMs,
    ];
  }

  /** Returns the time until a permit is available; infinite if this host's rate is 0. */
  nextPermitInMs(server: BackendServer, part: LimitPart, nowMs: Milliseconds): Milliseconds {
    const freeInMs = this.bounds?.freeInMs(server, part, nowMs) ?? 0;
    const rate = this.#limitOf(server, part, nowMs);
    if (rate === undefined) return freeInMs;
    const missing = 1 - this.#refill(server, part, rate, nowMs).permits;
    return Math.max(freeInMs, missing <= 0 ? 0 : (missing / rate) * MS_PER_SECOND);
  }

  /**
   * Returns the permits per second that this host grants for a server; undefined if it has no
   * limit.
   */
  rateOf(server: BackendServer, part: LimitPart, nowMs: Milliseconds): number | undefined {
    const limit = this.#limitOf(server, part, nowMs);
    const bound = this.bounds?.maxOf(server, part, nowMs);
    if (limit === undefined || bound === undefined) return limit ?? bound;
    return Math.min(limit, bound);
  }

  /** Returns the number of permits for a server that were granted in the last 4 s, in any role. */
  recentlyGranted(server: BackendServer, nowMs: Milliseconds): number {
    const grantTimes = LIMIT_ROLES.flatMap((role) => {
      return this.#buckets.get(`${role} ${server.id}`)?.grantTimes ?? [];
    });
    return grantTimes.filter((atMs) => nowMs - atMs < RECENT_GRANTS_MS).length;
  }

  #limitOf(server: BackendServer, { share }: LimitPart, nowMs: Milliseconds): number | undefined {
    const rate = this.limits.rateOf(server, nowMs);
    return rate === undefined ? undefined : rate * share;
  }

  #refill(server: BackendServer, { role }: LimitPart, rate: number, nowMs: Milliseconds): Bucket {
    const key = `${role} ${server.id}`;
    const known = this.#buckets.get(key);
    const isReusable =
      known !== undefined &&
      isSameIncarnation(known.server, server) &&
      (role === 'first' || nowMs - known.atMs < BUCKET_EXPIRY_MS);
    if (!isReusable) return this.#createBucket(key, server, nowMs);
    const most = 1 + (rate * BURST_MS) / MS_PER_SECOND;
    known.permits = Math.min(most, known.permits + (rate * (nowMs - known.atMs)) / MS_PER_SECOND);
    known.atMs = nowMs;
    return known;
  }

  #createBucket(key: string, server: BackendServer, nowMs: Milliseconds): Bucket {
    for (const [otherKey, { server: limited }] of this.#buckets) {
      if (!this.limits.mayBeLimited(limited)) this.#buckets.delete(otherKey);
    }
    const bucket = { server, permits: 0, atMs: nowMs, grantTimes: [] };
    this.#buckets.set(key, bucket);
    return bucket;
  }
}
