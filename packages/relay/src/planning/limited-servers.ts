import type { Milliseconds } from '@poppypond/core';
import { PermitBuckets, UNCOUNTED_REQUESTS } from '@poppypond/fleet';
import type { BackendServer, LimitPart, RateLimits, RequestBounds } from '@poppypond/fleet';
import type { PlanAnswer, PlanRequest } from './plan-request.js';
import { ScheduledRetries } from './scheduled-retries.js';

/**
 * This host's share of the rate limits of a service. `isFallback` is true if it plans because it
 * reaches no planner.
 */
export type LimitPartOf = (service: string, isFallback: boolean) => LimitPart;

/** Status queries and renewals a second that a server gets without permits. */
export type UpkeepOf = (server: BackendServer) => number;

const MS_PER_SECOND = 1000;
/** Precision of the expected wait. */
const WAIT_PRECISION_MS: Milliseconds = 1;
/** Commands that reserve and release memory on an engine for one attempt. */
const RESERVATION_COMMANDS = 2;
const NO_LIMIT_PART: LimitPart = { role: 'first', share: 0 };

/** The rate limits of a service at one moment, as this host may grant from them. */
export class LimitedService {
  constructor(
    readonly buckets: PermitBuckets,
    readonly part: LimitPart,
    readonly nowMs: Milliseconds,
    /** Status queries and renewals a second that a server gets without permits. */
    readonly upkeepOf: UpkeepOf = () => 0,
  ) {}

  /**
   * Returns the servers that a request may be sent to when `ahead` others precede it; those take
   * the next permits.
   */
  withPermits(servers: readonly BackendServer[], ahead: number): readonly BackendServer[] {
    const service = servers[0]?.service;
    if (service === undefined || !this.buckets.isActive(service)) return servers;
    const available: BackendServer[] = [];
    let permits = 0;
    for (const server of servers) {
      const free = this.#availablePermits(server);
      if (free > 0) available.push(server);
      permits += free;
    }
    if (permits > ahead) return available;
    return this.buckets.isBounded(service)
      ? []
      : available.filter((server) => !this.isLimited(server));
  }

  isLimited(server: BackendServer): boolean {
    return this.buckets.limits.isLimited(server, this.nowMs);
  }

  /** Whether a server is cold, so that others are preferred. */
  isCold(server: BackendServer): boolean {
    const { limits } = this.buckets;
    return limits.size > 0 && limits.isCold(server, this.nowMs);
  }

  #availablePermits(server: BackendServer): number {
    const isBounded = this.buckets.isBounded(server.service);
    const upkeep = isBounded ? Math.ceil(this.upkeepOf(server)) : 0;
    const uncounted = Math.max(0, upkeep - UNCOUNTED_REQUESTS);
    return this.buckets.availablePermits(server, this.part, this.nowMs, uncounted);
  }

  /**
   * Grants a permit of each server that is limited or bounded; returns the ids of the servers for
   * which a host may need it. Engines in `reservedIds` are also sent commands that reserve and
   * release memory.
   */
  grant(servers: readonly BackendServer[], reservedIds: readonly string[] = []): readonly string[] {
    const { bounds, limits } = this.buckets;
    const isCounted = (server: BackendServer) =>
      limits.mayBeLimited(server) || this.buckets.isBounded(server.service);
    const known = servers.filter(isCounted);
    for (const server of known) {
      const requests = reservedIds.includes(server.id) ? 1 + RESERVATION_COMMANDS : 1;
      this.buckets.grant(server, this.part, this.nowMs, requests);
    }
    return known
      .filter((server) => limits.mayBeLimited(server) || bounds?.needsPermit(server.service))
      .map(({ id }) => id);
  }

  /** Permits per second of all servers together. */
  rateOf(servers: readonly BackendServer[]): number {
    return servers.reduce((sum, server) => {
      return sum + (this.buckets.rateOf(server, this.part, this.nowMs) ?? 0);
    }, 0);
  }

  /**
   * Expected time until a permit is available to a request that `ahead` others precede; infinite if
   * none will be.
   */
  expectedWaitMs(servers: readonly BackendServer[], ahead: number): Milliseconds {
    const schedules = servers.map((server) => ({
      nextMs: this.buckets.nextPermitInMs(server, this.part, this.nowMs),
      intervalMs: MS_PER_SECOND / (this.buckets.rateOf(server, this.part, this.nowMs) ?? 0),
    }));
    const permitsWithin = (forMs: Milliseconds) =>
      schedules.reduce((sum, { nextMs, intervalMs }) => {
        return sum + (forMs < nextMs ? 0 : 1 + Math.floor((forMs - nextMs) / intervalMs));
      }, 0);
    const firstMs = Math.min(...schedules.map(({ nextMs }) => nextMs));
    let stepMs = (ahead / this.rateOf(servers)) * MS_PER_SECOND;
    if (!Number.isFinite(firstMs) || ahead === 0) return firstMs;
    let lowerBoundMs = firstMs;
    for (; stepMs >= WAIT_PRECISION_MS; stepMs /= 2) {
      if (permitsWithin(lowerBoundMs + stepMs) <= ahead) lowerBoundMs += stepMs;
    }
    return permitsWithin(lowerBoundMs) > ahead ? lowerBoundMs : lowerBoundMs + 2 * stepMs;
  }

  /** Number of cold servers; undefined if there are none and none may turn cold. */
  countCold(servers: readonly BackendServer[]): number | undefined {
    const count = servers.filter((server) => this.isCold(server)).length;
    const mayBeCold = servers.some(({ service }) => this.buckets.isBounded(service));
    return count > 0 || mayBeCold ? count : undefined;
  }

  /** Describes the exhausted limits, for the detail of a refusal. */
  describe(servers: readonly BackendServer[]): string {
    const granted = servers.reduce((sum, server) => {
      return sum + this.buckets.recentlyGranted(server, this.nowMs);
    }, 0);
    const rate = this.rateOf(servers).toFixed(1);
    const { role } = this.part;
    return `${String(servers.length)} servers take ${rate} a second, ${String(granted)} permits granted in 4 s in role ${role}`;
  }
}

/** Grants permits of rate-limited servers, and tells refused callers when to retry. */
export class LimitedServers {
  readonly #buckets: PermitBuckets;
  /** By service. */
  readonly #retriesByService = new Map<string, ScheduledRetries>();

  readonly #partCache = new Map<
    string,
    { readonly part: LimitPart; readonly atMs: Milliseconds }
  >();

  constructor(
    limits: RateLimits,
    readonly limitPartOf: LimitPartOf,
    bounds?: RequestBounds,
    readonly upkeepOf?: UpkeepOf,
  ) {
    this.#buckets = new PermitBuckets(limits, bounds);
  }

  /** Whether requests to a service's servers need permits or may need them. */
  isActive(service: string): boolean {
    return this.#buckets.isActive(service);
  }

  /** The rate limits of a service now. */
  limitsOf(service: string, isFallback: boolean, nowMs: Milliseconds): LimitedService {
    const part = this.#limitPartOf(service, isFallback, nowMs);
    return new LimitedService(this.#buckets, part, nowMs, this.upkeepOf);
  }

  /** Computed once per planning round, since it takes all hosts into account. */
  #limitPartOf(service: string, isFallback: boolean, nowMs: Milliseconds): LimitPart {
    if (!this.isActive(service)) return NO_LIMIT_PART;
    const key = `${String(isFallback)} ${service}`;
    const known = this.#partCache.get(key);
    if (known?.atMs === nowMs) return known.part;
    const part = this.limitPartOf(service, isFallback);
    this.#partCache.set(key, { part, atMs: nowMs });
    return part;
  }

  /** Permits of a server that this host granted in the last 4 s, in any role. */
  recentlyGranted(server: BackendServer, nowMs: Milliseconds): number {
    return this.#buckets.recentlyGranted(server, nowMs);
  }

  /** Whether a request was refused before and told to retry at about this time. */
  isScheduledRetry({ service, content }: PlanRequest, nowMs: Milliseconds): boolean {
    return this.#retriesByService.get(service)?.isDue(content, nowMs) ?? false;
  }

  /** Records that a request was placed. */
  onPlaced(request: PlanRequest, nowMs: Milliseconds): void {
    this.#retriesByService.get(request.service)?.settle(request.content, nowMs);
  }

  /**
   * Number of permits reserved for retries that are due before the next permit becomes available.
   */
  reservedFor(service: string, limited: LimitedService, servers: readonly BackendServer[]): number {
    const retries = this.#retriesByService.get(service);
    if (!retries) return 0;
    const nextMs = MS_PER_SECOND / limited.rateOf(servers);
    return retries.reservedUntil(limited.nowMs + nextMs, limited.nowMs);
  }

  /**
   * Decides about a request that no server may be sent now: it waits if a permit is expected in
   * time, and otherwise is refused at once with the time of the next one.
   */
  answer(
    request: PlanRequest,
    limited: LimitedService,
    servers: readonly BackendServer[],
    ahead: number,
  ): PlanAnswer {
    const { nowMs } = limited;
    const expectedWaitMs = limited.expectedWaitMs(servers, ahead);
    const untilMs = request.waitsForPermitUntilMs;
    if (untilMs === undefined) {
      const retryAfterMs = Number.isFinite(expectedWaitMs) ? expectedWaitMs : undefined;
      return {
        kind: 'refuse',
        rule: 'limited',
        retryAfterMs,
        coldCount: limited.countCold(servers),
      };
    }
    if (nowMs + expectedWaitMs <= untilMs) return { kind: 'wait', rule: 'waits_for_limit' };
    const retryAfterMs = this.#scheduleRetry(request, limited, servers, expectedWaitMs);
    return {
      kind: 'refuse',
      rule: 'limited',
      retryAfterMs,
      coldCount: limited.countCold(servers),
      detail: limited.describe(servers),
    };
  }

  #scheduleRetry(
    request: PlanRequest,
    limited: LimitedService,
    servers: readonly BackendServer[],
    expectedWaitMs: Milliseconds,
  ): Milliseconds | undefined {
    if (!Number.isFinite(expectedWaitMs)) return undefined;
    const { content, deadlineAtMs, service } = request;
    const { nowMs } = limited;
    const retries = this.#retriesByService.get(service) ?? new ScheduledRetries();
    this.#retriesByService.set(service, retries);
    retries.settle(content, nowMs);
    const perSecond = limited.rateOf(servers);
    const expectedAtMs = nowMs + expectedWaitMs;
    return retries.schedule({ content, expectedAtMs, deadlineAtMs, perSecond }, nowMs);
  }
}
